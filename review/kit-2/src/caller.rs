//! Stand-in for the platform's routers and for clients.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpStream, UdpSocket},
    sync::mpsc,
    time::{sleep, timeout, Instant},
};

use crate::{
    http,
    packet::{self, Packet},
    record::Record,
    server::random,
};

/// Times after the first opening packet at which its copies follow.
const COPIES_MS: [u64; 2] = [200, 600];

/// Time after which a flow that hasn't opened is given up.
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

const FIRST_WAIT: Duration = Duration::from_millis(200);
const LONGEST_WAIT: Duration = Duration::from_millis(1_600);

/// Longest data of a packet.
const SEGMENT: usize = 1_200;

/// Largest distance of a reset's number from the last acknowledgement.
const RESET_WINDOW: u32 = 76_800;

/// Interval between readiness checks, and the misses after which a node is out of rotation.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const MISSES: u32 = 2;

/// An entry node as the routers know it.
#[derive(Clone)]
pub struct Entry {
    pub packets: SocketAddrV4,
    pub ready: SocketAddrV4,
}

/// Routers in front of the entry nodes.
pub struct Router {
    entries: Vec<Entry>,
    misses: Mutex<Vec<u32>>,
}

impl Router {
    pub fn start(entries: Vec<Entry>) -> Arc<Router> {
        let misses = Mutex::new(vec![MISSES; entries.len()]);
        let router = Arc::new(Router { entries, misses });
        for index in 0..router.entries.len() {
            let router = router.clone();
            tokio::spawn(async move {
                loop {
                    let is_ready = is_ready(router.entries[index].ready).await;
                    router.note_check(index, is_ready);
                    sleep(CHECK_INTERVAL).await;
                }
            });
        }
        router
    }

    fn note_check(&self, index: usize, is_ready: bool) {
        let misses = &mut self.misses.lock().unwrap()[index];
        *misses = if is_ready { 0 } else { *misses + 1 };
    }

    /// Returns the nodes in rotation; all of them if fewer than half are.
    fn rotation(&self) -> Vec<SocketAddrV4> {
        let misses = self.misses.lock().unwrap();
        let all = || self.entries.iter().zip(misses.iter());
        let ready = all().filter(|(_, misses)| **misses < MISSES);
        let ready: Vec<SocketAddrV4> = ready.map(|(entry, _)| entry.packets).collect();
        if ready.len() * 2 < self.entries.len() {
            return self.entries.iter().map(|entry| entry.packets).collect();
        }
        ready
    }

    pub fn has_all(&self) -> bool {
        self.misses
            .lock()
            .unwrap()
            .iter()
            .all(|misses| *misses == 0)
    }

    fn node(&self, packet: &Packet) -> SocketAddrV4 {
        let nodes = self.rotation();
        let mut hash = u32::from(*packet.from.ip()) ^ u32::from(*packet.to.ip()).rotate_left(7);
        hash ^= u32::from(packet.from.port()).wrapping_mul(0x9e37_79b1);
        hash ^= u32::from(packet.to.port()).wrapping_mul(0x85eb_ca6b);
        hash ^= hash >> 15;
        hash = hash.wrapping_mul(0x2c1b_3c6d);
        hash ^= hash >> 13;
        nodes[hash as usize % nodes.len()]
    }
}

/// Returns whether a node answers its readiness check with 200.
pub async fn is_ready(address: SocketAddrV4) -> bool {
    let call = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (reader, mut writer) = stream.into_split();
        let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        writer.write_all(request.as_bytes()).await.ok()?;
        Some(http::read(&mut BufReader::new(reader)).await?.path == "200")
    };
    let answer = timeout(CHECK_INTERVAL, call).await;
    answer.ok().flatten().unwrap_or(false)
}

/// What became of the opening of a flow, or of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Answered(String),
    /// A reset that the client accepts. `by_system` tells that no target wrote it.
    Reset {
        by_system: bool,
    },
    NoAnswer,
}

type Inbox = mpsc::UnboundedSender<(Packet, bool)>;

/// A client machine.
pub struct Caller {
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Arc<Router>,
    flows: Mutex<HashMap<u16, Inbox>>,
    next_port: AtomicU32,
    record: Record,
}

impl Caller {
    /// Starts a client; packets come to it at `port`.
    pub async fn start(
        ip: Ipv4Addr,
        port: u16,
        router: Arc<Router>,
        record: Record,
    ) -> std::io::Result<Arc<Caller>> {
        let caller = Arc::new(Caller {
            ip,
            socket: UdpSocket::bind(SocketAddrV4::new(ip, port)).await?,
            router,
            flows: Mutex::default(),
            next_port: AtomicU32::new(40_000),
            record,
        });
        let receiving = caller.clone();
        tokio::spawn(async move {
            let mut buffer = [0; 2_048];
            while let Ok((len, _)) = receiving.socket.recv_from(&mut buffer).await {
                let bytes = &buffer[..len];
                let Some(packet) = Packet::decode(bytes) else {
                    receiving
                        .record
                        .line("MISMATCH a client got a changed packet");
                    continue;
                };
                let flows = receiving.flows.lock().unwrap();
                if let Some(inbox) = flows.get(&packet.to.port()) {
                    // The flow may just have ended.
                    let _ = inbox.send((packet, packet::is_system_reset(bytes)));
                }
            }
        });
        Ok(caller)
    }

    /// Opens a flow to the address of a route.
    pub async fn open(self: &Arc<Caller>, route: SocketAddrV4) -> (CallerFlow, Outcome) {
        let port = self.next_port.fetch_add(1, Ordering::Relaxed) as u16;
        let (sender, inbox) = mpsc::unbounded_channel();
        self.flows.lock().unwrap().insert(port, sender);
        let mut flow = CallerFlow {
            caller: self.clone(),
            end: SocketAddrV4::new(self.ip, port),
            route,
            inbox,
            next: random(),
            expected: 0,
        };
        let outcome = flow.open().await;
        (flow, outcome)
    }
}

/// The client's end of a flow.
pub struct CallerFlow {
    caller: Arc<Caller>,
    pub end: SocketAddrV4,
    pub route: SocketAddrV4,
    inbox: mpsc::UnboundedReceiver<(Packet, bool)>,
    next: u32,
    expected: u32,
}

impl Drop for CallerFlow {
    fn drop(&mut self) {
        self.caller.flows.lock().unwrap().remove(&self.end.port());
    }
}

impl CallerFlow {
    async fn send(&self, flags: u8, ack: u32, data: &[u8]) {
        self.send_at(self.next, flags, ack, data).await;
    }

    async fn send_at(&self, seq: u32, flags: u8, ack: u32, data: &[u8]) {
        let packet = Packet {
            from: self.end,
            to: self.route,
            flags,
            seq,
            ack,
            data: data.to_vec(),
        };
        let node = self.caller.router.node(&packet);
        // The packet is lost while the node is down.
        let _ = self.caller.socket.send_to(&packet.encode(), node).await;
    }

    async fn open(&mut self) -> Outcome {
        let start = Instant::now();
        let times = COPIES_MS
            .map(Duration::from_millis)
            .into_iter()
            .chain([OPEN_LIMIT]);
        for (copy, end) in (0..).zip(times) {
            self.send(packet::SYN, copy, &[]).await;
            while let Ok(Some((packet, by_system))) = timeout(
                (start + end).saturating_duration_since(Instant::now()),
                self.inbox.recv(),
            )
            .await
            {
                if packet.flags & packet::RST != 0 {
                    return Outcome::Reset { by_system };
                }
                if packet.flags == packet::SYN | packet::ACK {
                    self.next = self.next.wrapping_add(1);
                    self.expected = packet.seq.wrapping_add(1);
                    self.send(packet::ACK, self.expected, &[]).await;
                    return Outcome::Answered(String::new());
                }
            }
        }
        Outcome::NoAnswer
    }

    /// Sends a request on the open flow, and waits for its answer.
    pub async fn request(&mut self, attempt: &str, work_ms: u64, limit: Duration) -> Outcome {
        self.request_with(attempt, work_ms, 0, limit).await
    }

    /// Sends a request with a body of this length.
    pub async fn request_with(
        &mut self,
        attempt: &str,
        work_ms: u64,
        body_len: usize,
        limit: Duration,
    ) -> Outcome {
        self.caller
            .record
            .line(format!("client {} sends {attempt}", self.end));
        let data = format!(
            "POST /{attempt} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {attempt}\r\nX-Work-Ms: {work_ms}\r\n\
             Content-Length: {body_len}\r\n\r\n{}",
            "m".repeat(body_len)
        );
        let outcome = self.exchange(data.as_bytes(), limit).await;
        self.caller
            .record
            .line(format!("client {} {attempt}: {outcome:?}", self.end));
        outcome
    }

    async fn exchange(&mut self, data: &[u8], limit: Duration) -> Outcome {
        let deadline = Instant::now() + limit;
        let end = self.next.wrapping_add(data.len() as u32);
        let mut wait = FIRST_WAIT;
        let mut is_taken = false;
        // Data that the target has acknowledged.
        let mut taken = 0;
        loop {
            for (number, segment) in data.chunks(SEGMENT).enumerate() {
                let start = number * SEGMENT;
                if start >= taken && !is_taken {
                    let seq = self.next.wrapping_add(start as u32);
                    self.send_at(seq, packet::ACK, self.expected, segment).await;
                }
            }
            let mut until = deadline;
            if !is_taken {
                until = until.min(Instant::now() + wait);
            }
            while let Ok(Some((packet, by_system))) = timeout(
                until.saturating_duration_since(Instant::now()),
                self.inbox.recv(),
            )
            .await
            {
                if packet.flags & packet::RST != 0 {
                    let ahead = packet.seq.wrapping_sub(self.expected);
                    if ahead.min(ahead.wrapping_neg()) <= RESET_WINDOW {
                        return Outcome::Reset { by_system };
                    }
                    self.caller
                        .record
                        .line(format!("client {} ignores a reset", self.end));
                    continue;
                }
                let acked = packet.ack.wrapping_sub(self.next) as usize;
                if packet.flags & packet::ACK != 0 && acked <= data.len() {
                    taken = taken.max(acked);
                }
                is_taken = taken == data.len();
                if !packet.data.is_empty() && packet.seq == self.expected {
                    self.next = end;
                    self.expected = self.expected.wrapping_add(packet.data.len() as u32);
                    self.send(packet::ACK, self.expected, &[]).await;
                    return Outcome::Answered(String::from_utf8_lossy(&packet.data).into_owned());
                }
                if !packet.data.is_empty() {
                    self.send_at(end, packet::ACK, self.expected, &[]).await;
                }
            }
            if Instant::now() >= deadline {
                return Outcome::NoAnswer;
            }
            wait = (wait * 2).min(LONGEST_WAIT);
        }
    }
}
