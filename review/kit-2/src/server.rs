//! Stand-in for a target.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc, Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, UdpSocket},
    sync::Semaphore,
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{
    http,
    packet::{self, Packet},
    record::Record,
};

/// Waits before the retransmissions of a packet, after which the server gives up.
const RETRANSMISSIONS_MS: [u64; 8] = [200, 400, 800, 1_600, 1_600, 1_600, 1_600, 1_600];

/// Pause after a heartbeat that found nobody at the start of the machine.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);

/// Addresses and identity of a target.
#[derive(Clone)]
pub struct ServerSettings {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddrV4,
    pub outbound: SocketAddrV4,
    pub control: SocketAddrV4,
    pub slots: usize,
    pub beat: Duration,
}

/// A later packet of a flow that came to a target.
#[derive(Clone, Debug)]
pub struct Delivery {
    pub caller: SocketAddrV4,
    pub seq: u32,
    pub server: String,
    pub at: f64,
}

/// What all targets saw.
#[derive(Clone, Default)]
pub struct ServerLog {
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub deliveries: Arc<Mutex<Vec<Delivery>>>,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    pub service: String,
}

struct Flow {
    first: u32,
    next: u32,
    acknowledged: u32,
    expected: u32,
    /// Data of a request that isn't complete.
    buffer: Vec<u8>,
    is_open: bool,
}

type Key = (SocketAddrV4, SocketAddrV4);

struct Shared {
    settings: ServerSettings,
    socket: UdpSocket,
    flows: Mutex<HashMap<Key, Flow>>,
    log: ServerLog,
    slots: Semaphore,
    record: Record,
    sequence: AtomicU64,
}

/// A target; it ends when it is dropped.
pub struct Server {
    shared: Arc<Shared>,
    born_ms: u64,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Server {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Server {
    pub async fn start(
        settings: ServerSettings,
        log: ServerLog,
        record: Record,
    ) -> std::io::Result<Server> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born_ms = born.unwrap_or_default().as_millis() as u64;
        let listener = TcpListener::bind(settings.app).await?;
        record.line(format!(
            "target {} ({}) starts at {}",
            settings.id, settings.service, settings.app
        ));
        let shared = Arc::new(Shared {
            socket: UdpSocket::bind(settings.app).await?,
            flows: Mutex::default(),
            log,
            slots: Semaphore::new(settings.slots),
            record,
            sequence: AtomicU64::new(0),
            settings,
        });
        let tasks = vec![
            tokio::spawn(check_health(listener, shared.clone())),
            tokio::spawn(send_heartbeats(shared.clone(), born_ms)),
            tokio::spawn(serve(shared.clone())),
        ];
        Ok(Server {
            shared,
            born_ms,
            tasks,
        })
    }

    /// Returns whether the target holds the flow of these ends.
    pub fn holds(&self, caller: SocketAddrV4, service: SocketAddrV4) -> bool {
        let flows = self.shared.flows.lock().unwrap();
        let flow = flows.get(&(caller, service));
        flow.is_some_and(|flow| flow.is_open)
    }

    /// Returns the body of the next heartbeat, which the caller sends later than the target would.
    pub fn take_heartbeat(&self) -> String {
        let sequence = self.shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        heartbeat(&self.shared.settings, sequence, self.born_ms)
    }

    pub fn id(&self) -> &str {
        &self.shared.settings.id
    }
}

async fn check_health(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        let shared = shared.clone();
        tokio::spawn(async move {
            let (reader, mut writer) = stream.into_split();
            let mut reader = BufReader::new(reader);
            while http::read(&mut reader).await.is_some() {
                let header = format!("X-Instance-Id: {}\r\n", shared.settings.id);
                let response = http::response(200, &header, "");
                if writer.write_all(&response).await.is_err() {
                    return;
                }
            }
        });
    }
}

async fn send_heartbeats(shared: Arc<Shared>, born_ms: u64) {
    let settings = &shared.settings;
    let mut is_registered = false;
    loop {
        let sequence = shared.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = heartbeat(settings, sequence, born_ms);
        let path = format!("/carobdrum/instances/{}", settings.id);
        let call = http::call(settings.control, "PUT", &path, &body);
        let status = timeout(Duration::from_secs(1), call).await.ok().flatten();
        is_registered |= status == Some(200);
        shared.record.line(format!(
            "target {} heartbeat {sequence}: {}",
            settings.id,
            status.map_or("no answer".to_owned(), |status| status.to_string())
        ));
        let pause = if is_registered {
            settings.beat
        } else {
            REFUSED_PAUSE
        };
        sleep(pause).await;
    }
}

/// Returns the body of a heartbeat.
pub fn heartbeat(settings: &ServerSettings, sequence: u64, born_ms: u64) -> String {
    serde_json::json!({
        "Service": settings.service,
        "Address": settings.app.to_string(),
        "Zone": settings.zone,
        "Version": "v1",
        "Slots": settings.slots,
        "State": "ready",
        "ColdRemainingMs": 0,
        "Sequence": sequence,
        "born": born_ms,
    })
    .to_string()
}

async fn serve(shared: Arc<Shared>) {
    let mut buffer = [0; 2_048];
    while let Ok((len, _)) = shared.socket.recv_from(&mut buffer).await {
        let bytes = &buffer[..len];
        let Some(packet) = Packet::decode(bytes) else {
            shared.record.line(format!(
                "MISMATCH target {} got a changed packet",
                shared.settings.id
            ));
            continue;
        };
        for reply in shared.answer(&packet, bytes) {
            shared.send(&reply).await;
        }
    }
}

impl Shared {
    async fn send(&self, bytes: &[u8]) {
        // The packet is lost while the node is down.
        let _ = self.socket.send_to(bytes, self.settings.outbound).await;
    }

    /// Returns the packets that answer a packet of a client at once.
    fn answer(self: &Arc<Shared>, packet: &Packet, bytes: &[u8]) -> Vec<Vec<u8>> {
        let key = (packet.from, packet.to);
        let mut flows = self.flows.lock().unwrap();
        let reply = |flags, seq, ack| {
            let (from, to, data) = (packet.to, packet.from, Vec::new());
            Packet {
                from,
                to,
                flags,
                seq,
                ack,
                data,
            }
            .encode()
        };
        if packet.flags == packet::SYN {
            let flow = flows.entry(key).or_insert_with(|| {
                let first = random();
                Flow {
                    first,
                    next: first.wrapping_add(1),
                    acknowledged: first,
                    expected: packet.seq.wrapping_add(1),
                    buffer: Vec::new(),
                    is_open: false,
                }
            });
            return vec![reply(packet::SYN | packet::ACK, flow.first, flow.expected)];
        }
        self.log.deliveries.lock().unwrap().push(Delivery {
            caller: packet.from,
            seq: packet.seq,
            server: self.settings.id.clone(),
            at: self.record.seconds(),
        });
        let bounce = || {
            let mut bytes = bytes.to_vec();
            bytes[8] |= packet::BOUNCED;
            bytes[9] = 0;
            vec![bytes]
        };
        let Some(flow) = flows.get_mut(&key) else {
            return bounce();
        };
        if packet.flags & packet::RST != 0 {
            flows.remove(&key);
            return Vec::new();
        }
        // The numbers of another target's flow with the same ends lie elsewhere.
        let is_own = packet.ack.wrapping_sub(flow.first) <= flow.next.wrapping_sub(flow.first);
        if !is_own {
            return bounce();
        }
        if !flow.is_open {
            flow.is_open = true;
            self.record.line(format!(
                "target {} holds the flow of {}",
                self.settings.id, packet.from
            ));
        }
        if packet.ack.wrapping_sub(flow.acknowledged) < u32::MAX / 2 {
            flow.acknowledged = packet.ack;
        }
        if packet.data.is_empty() && packet.flags & packet::FIN == 0 {
            return Vec::new();
        }
        if packet.flags & packet::FIN != 0 {
            let ack = packet.seq.wrapping_add(packet.data.len() as u32 + 1);
            let seq = flow.next;
            flows.remove(&key);
            return vec![reply(packet::FIN | packet::ACK, seq, ack)];
        }
        if packet.seq == flow.expected {
            flow.expected = flow.expected.wrapping_add(packet.data.len() as u32);
            flow.buffer.extend_from_slice(&packet.data);
            if is_complete(&flow.buffer) {
                let data = std::mem::take(&mut flow.buffer);
                tokio::spawn(run(self.clone(), key, data));
            }
        }
        vec![reply(packet::ACK, flow.next, flow.expected)]
    }

    /// Returns the flow's next sequence number, and moves it by `len`.
    fn take_numbers(&self, key: Key, len: usize) -> Option<(u32, u32)> {
        let mut flows = self.flows.lock().unwrap();
        let flow = flows.get_mut(&key)?;
        let seq = flow.next;
        flow.next = flow.next.wrapping_add(len as u32);
        Some((seq, flow.expected))
    }

    /// Returns whether the client has acknowledged up to `end`, or the flow is over.
    fn is_acknowledged(&self, key: Key, end: u32) -> bool {
        let flows = self.flows.lock().unwrap();
        let flow = flows.get(&key);
        flow.is_none_or(|flow| {
            end.wrapping_sub(flow.acknowledged) > u32::MAX / 2 || end == flow.acknowledged
        })
    }
}

/// Runs a request and answers it.
async fn run(shared: Arc<Shared>, key: Key, request: Vec<u8>) {
    let text = String::from_utf8_lossy(&request).into_owned();
    let header = |name: &str| {
        let lines = text.lines().filter_map(|line| line.split_once(": "));
        let mut found = lines.filter(|(found, _)| *found == name);
        found.next().map(|(_, value)| value.to_owned())
    };
    let attempt = header("X-Attempt-Id").unwrap_or_default();
    let work_ms = header("X-Work-Ms").and_then(|value| value.parse().ok());
    let slot = shared.slots.acquire().await;
    let settings = &shared.settings;
    shared.record.line(format!(
        "target {} ({}) runs {attempt}",
        settings.id, settings.service
    ));
    shared.log.runs.lock().unwrap().push(Run {
        attempt: attempt.clone(),
        server: settings.id.clone(),
        service: settings.service.clone(),
    });
    sleep(Duration::from_millis(work_ms.unwrap_or(40))).await;
    drop(slot);
    let body = format!("{attempt} by {}", settings.id);
    let data = format!(
        "HTTP/1.1 200 OK\r\nX-Response-Signature: {}\r\nContent-Length: {}\r\n\r\n{body}",
        settings.id,
        body.len()
    );
    let data = data.into_bytes();
    let Some((seq, ack)) = shared.take_numbers(key, data.len()) else {
        return;
    };
    let end = seq.wrapping_add(data.len() as u32);
    let ((to, from), flags) = (key, packet::ACK);
    let bytes = Packet {
        from,
        to,
        flags,
        seq,
        ack,
        data,
    }
    .encode();
    for wait_ms in RETRANSMISSIONS_MS {
        shared.send(&bytes).await;
        sleep(Duration::from_millis(wait_ms)).await;
        if shared.is_acknowledged(key, end) {
            return;
        }
    }
}

/// Returns whether this is the whole of a request.
fn is_complete(data: &[u8]) -> bool {
    let text = String::from_utf8_lossy(data);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lines = head.lines().filter_map(|line| line.split_once(": "));
    let len = lines.find(|(name, _)| *name == "Content-Length");
    len.and_then(|(_, len)| len.parse().ok()) == Some(body.len())
}

/// Returns a number that differs from call to call.
pub fn random() -> u32 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish() as u32
}
