//! Stand-in for a target: it announces itself, takes flows and runs requests.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use carobdrum_platform_standins::{flags, EndpointPacket};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
    sync::Semaphore,
    task::JoinHandle,
    time::{sleep, timeout, Instant},
};

use crate::record::Record;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(770);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
const SLOTS: usize = 7;
const WORK: Duration = Duration::from_millis(40);

/// The same while the target is cold: `cold_x` of the site file is 1.6.
const COLD_WORK: Duration = Duration::from_millis(64);

/// Bits of a target's first sequence numbers below its number.
const NUMBER_SHIFT: u32 = 20;

#[derive(Clone, Debug)]
pub struct ServerSettings {
    pub number: u32,
    pub service: String,
    pub zone: String,
    /// Address at which the agent delivers packets.
    pub app: SocketAddrV4,
    /// Address to which the target sends its packets.
    pub outbound: SocketAddrV4,
    pub heartbeats: SocketAddrV4,
}

/// A request that came to a target, which works on it at once or once a slot is free.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// When the opening packet of its flow came to the target.
    pub opened: Instant,
    pub server: u32,
    pub zone: String,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A target; it ends when it is dropped.
pub struct Server {
    pub settings: ServerSettings,
    /// Unix time of its start, in milliseconds.
    pub born: u128,
    is_draining: Arc<AtomicBool>,
    is_acknowledged: Arc<AtomicBool>,
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
    /// Starts a target that is cold for `cold_time` from now on.
    pub async fn start(
        settings: ServerSettings,
        cold_time: Duration,
        runs: Runs,
        record: Record,
    ) -> Server {
        let is_draining = Arc::new(AtomicBool::new(false));
        let is_acknowledged = Arc::new(AtomicBool::new(false));
        let socket = UdpSocket::bind(settings.app).await.expect("app is free");
        let listener = TcpListener::bind(settings.app).await.expect("app is free");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is set")
            .as_millis();
        let cold_until = Instant::now() + cold_time;
        let beats = send_heartbeats(
            settings.clone(),
            born,
            cold_until,
            is_draining.clone(),
            is_acknowledged.clone(),
            record.clone(),
        );
        let flows = serve_flows(
            Arc::new(socket),
            settings.clone(),
            cold_until,
            is_draining.clone(),
            runs,
            record,
        );
        let tasks = vec![
            tokio::spawn(beats),
            tokio::spawn(flows),
            tokio::spawn(serve_health(listener, is_draining.clone())),
        ];
        Server {
            settings,
            born,
            is_draining,
            is_acknowledged,
            tasks,
        }
    }

    /// Reports that the target is draining; returns when that is acknowledged.
    pub async fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
        while !self.is_acknowledged.load(Ordering::SeqCst) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends the target at once, as a loss of power does.
    pub async fn lose_power(mut self) {
        for task in std::mem::take(&mut self.tasks) {
            task.abort();
            let _ = task.await;
        }
    }

    /// Deregisters the target and ends it.
    pub async fn leave(self) {
        let id = self.settings.number;
        let request = format!(
            "DELETE /carobdrum/instances/i-{id} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
        );
        let call = call(self.settings.heartbeats, request);
        let _ = timeout(HEARTBEAT_TIMEOUT, call).await;
        self.lose_power().await;
    }
}

async fn call(to: SocketAddrV4, request: String) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(to).await?;
    stream.write_all(request.as_bytes()).await?;
    let mut response = String::new();
    stream.read_to_string(&mut response).await?;
    Ok(response.starts_with("HTTP/1.1 2"))
}

async fn send_heartbeats(
    settings: ServerSettings,
    born: u128,
    cold_until: Instant,
    is_draining: Arc<AtomicBool>,
    is_acknowledged: Arc<AtomicBool>,
    record: Record,
) {
    for sequence in 1.. {
        let drains = is_draining.load(Ordering::SeqCst);
        let state = if drains { "draining" } else { "ready" };
        let cold_remaining = cold_until
            .saturating_duration_since(Instant::now())
            .as_millis();
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{SLOTS},\
             \"State\":\"{state}\",\"ColdRemainingMs\":{cold_remaining},\"Sequence\":{sequence},\"born\":{born}}}",
            settings.service, settings.app, settings.zone
        );
        let request = format!(
            "PUT /carobdrum/instances/i-{} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            settings.number,
            body.len()
        );
        let sent = timeout(HEARTBEAT_TIMEOUT, call(settings.heartbeats, request)).await;
        let is_answered = matches!(sent, Ok(Ok(true)));
        if is_answered && drains && !is_acknowledged.swap(true, Ordering::SeqCst) {
            record.line(&format!(
                "target {} draining, acknowledged",
                settings.number
            ));
        }
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn serve_health(listener: TcpListener, is_draining: Arc<AtomicBool>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let status = if is_draining.load(Ordering::SeqCst) {
            503
        } else {
            200
        };
        tokio::spawn(async move {
            let mut request = [0; 1_024];
            if stream.read(&mut request).await.is_ok_and(|len| len > 0) {
                let response = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
                let _ = stream.write_all(response.as_bytes()).await;
            }
        });
    }
}

/// A flow that the target holds.
struct Flow {
    opened: Instant,
    /// First sequence number of the target.
    first: u32,
    /// Sequence number of the client's next data.
    expected: u32,
    /// Sequence number of the target's next data.
    next: u32,
    /// The last response, with its sequence number.
    response: Option<(u32, Vec<u8>)>,
}

async fn serve_flows(
    socket: Arc<UdpSocket>,
    settings: ServerSettings,
    cold_until: Instant,
    is_draining: Arc<AtomicBool>,
    runs: Runs,
    record: Record,
) {
    let flows: Arc<Mutex<HashMap<(SocketAddrV4, SocketAddrV4), Flow>>> = Arc::default();
    let slots = Arc::new(Semaphore::new(SLOTS));
    let mut buffer = [0; 2_048];
    let mut opened_count = 0_u32;
    while let Ok((len, _)) = socket.recv_from(&mut buffer).await {
        let bytes = &buffer[..len];
        let Some(packet) = EndpointPacket::decode(bytes) else {
            record.say(&format!("target {}: a changed packet", settings.number));
            continue;
        };
        let key = (packet.from, packet.to);
        if packet.flags == flags::SYN {
            opened_count += 1;
            let first = (settings.number << NUMBER_SHIFT) + opened_count * 16;
            let mut flows = flows.lock().expect("no holder panics");
            let flow = flows.entry(key).or_insert(Flow {
                opened: Instant::now(),
                first,
                expected: packet.sequence.wrapping_add(1),
                next: first.wrapping_add(1),
                response: None,
            });
            let accept = answer(
                &packet,
                flags::SYN | flags::ACK,
                flow.first,
                flow.expected,
                vec![],
            );
            let _ = socket.try_send_to(&accept.encode(), settings.outbound.into());
            continue;
        }
        let mut held = flows.lock().expect("no holder panics");
        let flow = held
            .get_mut(&key)
            .filter(|flow| packet.acknowledged.wrapping_sub(flow.first) < 1 << 15);
        let Some(flow) = flow else {
            let mut returned = bytes.to_vec();
            returned[8] |= flags::BOUNCED;
            returned[9] = 0;
            let _ = socket.try_send_to(&returned, settings.outbound.into());
            continue;
        };
        if packet.flags & flags::RST != 0 {
            continue;
        }
        if packet.flags & flags::FIN != 0 {
            let acknowledged = packet.sequence.wrapping_add(1);
            let finish = answer(
                &packet,
                flags::FIN | flags::ACK,
                flow.next,
                acknowledged,
                vec![],
            );
            let _ = socket.try_send_to(&finish.encode(), settings.outbound.into());
            continue;
        }
        if packet.data.is_empty() {
            continue;
        }
        let acknowledged = packet.sequence.wrapping_add(packet.data.len() as u32);
        if packet.sequence != flow.expected {
            // A copy of the last request.
            let sent = flow
                .response
                .as_ref()
                .filter(|_| acknowledged == flow.expected);
            if let Some((sequence, data)) = sent {
                let response = answer(&packet, flags::ACK, *sequence, acknowledged, data.clone());
                let _ = socket.try_send_to(&response.encode(), settings.outbound.into());
            }
            continue;
        }
        flow.expected = acknowledged;
        let id = attempt_id(&packet.data);
        runs.lock().expect("no holder panics").push(Run {
            id: id.clone(),
            opened: flow.opened,
            server: settings.number,
            zone: settings.zone.clone(),
        });
        let closes = is_draining.load(Ordering::SeqCst);
        let (flows, socket, settings) = (flows.clone(), socket.clone(), settings.clone());
        let (slots, record) = (slots.clone(), record.clone());
        tokio::spawn(async move {
            let Ok(_slot) = slots.acquire_owned().await else {
                return;
            };
            record.line(&format!(
                "target {} ({}, {}) runs {id}",
                settings.number, settings.service, settings.zone
            ));
            let is_cold = Instant::now() < cold_until;
            sleep(if is_cold { COLD_WORK } else { WORK }).await;
            let body = format!("answer to {id} by {}", settings.number);
            let data = format!(
                "HTTP/1.1 200 OK\r\nX-Response-Signature: s-{id}\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            )
            .into_bytes();
            let mut flows = flows.lock().expect("no holder panics");
            let Some(flow) = flows.get_mut(&key) else {
                return;
            };
            let sequence = flow.next;
            flow.next = sequence.wrapping_add(data.len() as u32);
            flow.response = Some((sequence, data.clone()));
            let finish = if closes { flags::FIN } else { 0 };
            let response = answer(&packet, flags::ACK | finish, sequence, acknowledged, data);
            let _ = socket.try_send_to(&response.encode(), settings.outbound.into());
        });
    }
}

fn answer(
    to: &EndpointPacket,
    flags: u8,
    sequence: u32,
    acknowledged: u32,
    data: Vec<u8>,
) -> EndpointPacket {
    EndpointPacket {
        from: to.to,
        to: to.from,
        flags,
        sequence,
        acknowledged,
        data,
    }
}

fn attempt_id(data: &[u8]) -> String {
    let text = String::from_utf8_lossy(data);
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("X-Attempt-Id: "));
    line.unwrap_or("none").to_owned()
}
