//! Stand-ins for clients and for the routers of the platform.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{
        atomic::{AtomicU32, Ordering},
        Arc, Mutex,
    },
    time::Duration,
};

use carobdrum_platform_standins::{flags, EndpointPacket};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, UdpSocket},
    sync::mpsc,
    time::{sleep, timeout, timeout_at, Instant},
};

use crate::record::Record;

/// Times since its start at which a client sends copies of an opening packet.
const SYN_TIMES_MS: [u64; 3] = [0, 200, 600];
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);
const DEADLINE: Duration = Duration::from_millis(3_000);
const FIRST_SEQUENCE: u32 = 7;
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const READY_MISSES: u8 = 2;

/// A frontend machine, as the routers know it.
#[derive(Clone, Debug)]
pub struct Frontend {
    pub ip: Ipv4Addr,
    pub zone: String,
}

/// The platform's routers: they send packets to a ready frontend of the client's zone.
#[derive(Clone)]
pub struct Router {
    frontends: Arc<Vec<Frontend>>,
    misses: Arc<Mutex<Vec<u8>>>,
    packet_port: u16,
}

impl Router {
    pub fn start(
        frontends: Vec<Frontend>,
        packet_port: u16,
        ready_port: u16,
        record: Record,
    ) -> Router {
        let router = Router {
            misses: Arc::new(Mutex::new(vec![READY_MISSES; frontends.len()])),
            frontends: Arc::new(frontends),
            packet_port,
        };
        for index in 0..router.frontends.len() {
            let (router, record) = (router.clone(), record.clone());
            tokio::spawn(async move { router.probe(index, ready_port, record).await });
        }
        router
    }

    async fn probe(&self, index: usize, port: u16, record: Record) {
        let ip = self.frontends[index].ip;
        loop {
            let is_ready = timeout(PROBE_INTERVAL, is_ready(SocketAddrV4::new(ip, port)));
            let is_ready = is_ready.await.unwrap_or(false);
            let (before, after) = self.note_probe(index, is_ready);
            if before != after {
                let state = if after { "in" } else { "out of" };
                record.line(&format!("frontend {} is {state} rotation", index + 1));
            }
            sleep(PROBE_INTERVAL).await;
        }
    }

    /// Notes the outcome of a probe; returns whether the frontend was in rotation before it, and whether it is after it.
    fn note_probe(&self, index: usize, is_ready: bool) -> (bool, bool) {
        let mut misses = self.misses.lock().expect("no holder panics");
        let before = misses[index] < READY_MISSES;
        misses[index] = if is_ready {
            0
        } else {
            misses[index].saturating_add(1)
        };
        (before, misses[index] < READY_MISSES)
    }

    pub fn is_in_rotation(&self, index: usize) -> bool {
        self.misses.lock().expect("no holder panics")[index] < READY_MISSES
    }

    /// Returns the frontend for a packet of this flow.
    fn pick(&self, zone: &str, caller: SocketAddrV4, route: SocketAddrV4) -> SocketAddrV4 {
        let is_ready = |index: &usize| self.is_in_rotation(*index);
        let of_zone: Vec<usize> = (0..self.frontends.len())
            .filter(|index| self.frontends[*index].zone == zone)
            .collect();
        let mut nodes: Vec<usize> = of_zone.iter().copied().filter(is_ready).collect();
        if nodes.is_empty() {
            nodes = (0..self.frontends.len()).filter(is_ready).collect();
        } else if nodes.len() * 2 < of_zone.len() {
            nodes = of_zone;
        }
        if nodes.is_empty() {
            nodes = (0..self.frontends.len()).collect();
        }
        let hash = u32::from(*caller.ip())
            .wrapping_mul(31)
            .wrapping_add(u32::from(caller.port()))
            .wrapping_add(u32::from(*route.ip()) ^ u32::from(route.port()));
        let node = nodes[hash as usize % nodes.len()];
        SocketAddrV4::new(self.frontends[node].ip, self.packet_port)
    }
}

async fn is_ready(address: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return false;
    };
    let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let mut response = String::new();
    stream.write_all(request.as_bytes()).await.is_ok()
        && stream.read_to_string(&mut response).await.is_ok()
        && response.starts_with("HTTP/1.1 200")
}

/// How an attempt of a client ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// A reset came before the flow opened.
    Refused,
    /// No SYN+ACK came.
    NotOpened,
    /// A reset came on the open flow.
    Reset,
    NotAnswered,
    /// The answer belongs to another request.
    Wrong,
}

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub route: SocketAddrV4,
    /// When its first opening packet was sent.
    pub sent: Instant,
    /// The frontend to which its packets went alone; `None` if the routers chose.
    pub via: Option<Ipv4Addr>,
    pub outcome: Outcome,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

type Inboxes = Arc<Mutex<HashMap<u16, mpsc::UnboundedSender<EndpointPacket>>>>;

/// A client machine.
#[derive(Clone)]
pub struct Client {
    ip: Ipv4Addr,
    zone: String,
    socket: Arc<UdpSocket>,
    inboxes: Inboxes,
    next_port: Arc<AtomicU32>,
    router: Router,
    attempts: Attempts,
    record: Record,
}

impl Client {
    pub async fn start(
        ip: Ipv4Addr,
        zone: &str,
        router: Router,
        attempts: Attempts,
        record: Record,
    ) -> Client {
        let socket = UdpSocket::bind((ip, router.packet_port)).await;
        let client = Client {
            ip,
            zone: zone.to_owned(),
            socket: Arc::new(socket.expect("the client's address is free")),
            inboxes: Inboxes::default(),
            next_port: Arc::new(AtomicU32::new(1_024)),
            router,
            attempts,
            record,
        };
        let receiving = client.clone();
        tokio::spawn(async move { receiving.receive().await });
        client
    }

    async fn receive(&self) {
        let mut buffer = [0; 2_048];
        loop {
            let Ok((len, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Some(packet) = EndpointPacket::decode(&buffer[..len]) else {
                self.record
                    .say(&format!("client {}: a changed packet", self.ip));
                continue;
            };
            let inboxes = self.inboxes.lock().expect("no holder panics");
            if let Some(inbox) = inboxes.get(&packet.to.port()) {
                let _ = inbox.send(packet);
            }
        }
    }

    /// Sends a request on a flow of its own to `route`, and adds the attempt to the list. With `via`, all its packets go
    /// to that frontend.
    pub async fn request(&self, route: SocketAddrV4, via: Option<Ipv4Addr>) -> Attempt {
        let number = self.next_port.fetch_add(1, Ordering::Relaxed);
        let port = (1_024 + number % 60_000) as u16;
        let id = format!("{}-{port}", self.ip);
        let (inbox, mut packets) = mpsc::unbounded_channel();
        self.inboxes
            .lock()
            .expect("no holder panics")
            .insert(port, inbox);
        let sent = Instant::now();
        let target = via.map_or("the routers".to_owned(), |ip| ip.to_string());
        self.record
            .line(&format!("{id} sent to {route} by {target}"));
        let outcome = self.exchange(route, via, port, &id, &mut packets).await;
        self.inboxes.lock().expect("no holder panics").remove(&port);
        self.record.line(&format!("{id} {outcome:?}"));
        let attempt = Attempt {
            id,
            route,
            sent,
            via,
            outcome,
        };
        self.attempts
            .lock()
            .expect("no holder panics")
            .push(attempt.clone());
        attempt
    }

    async fn exchange(
        &self,
        route: SocketAddrV4,
        via: Option<Ipv4Addr>,
        port: u16,
        id: &str,
        packets: &mut mpsc::UnboundedReceiver<EndpointPacket>,
    ) -> Outcome {
        let deadline = Instant::now() + DEADLINE;
        let mut flow = match Flow::open(self, route, via, port, packets).await {
            Ok(flow) => flow,
            Err(outcome) => return outcome,
        };
        let outcome = flow.ask(id, deadline).await;
        flow.finish();
        outcome
    }

    /// Opens a flow to `route` and sends requests on it at this interval until `end`, one after the other. Returns how many
    /// were served, and how the last one ended.
    pub async fn use_long_flow(
        &self,
        route: SocketAddrV4,
        interval: Duration,
        end: Instant,
    ) -> (usize, Outcome) {
        let number = self.next_port.fetch_add(1, Ordering::Relaxed);
        let port = (1_024 + number % 60_000) as u16;
        let (inbox, mut packets) = mpsc::unbounded_channel();
        self.inboxes
            .lock()
            .expect("no holder panics")
            .insert(port, inbox);
        let mut served = 0;
        let mut outcome = Outcome::NotOpened;
        match Flow::open(self, route, None, port, &mut packets).await {
            Err(refused) => outcome = refused,
            Ok(mut flow) => {
                while Instant::now() < end {
                    let id = format!("{}-{port}-{served}", self.ip);
                    self.record
                        .line(&format!("{id} sent to {route} on an open flow"));
                    outcome = flow.ask(&id, Instant::now() + DEADLINE).await;
                    if outcome == Outcome::Served {
                        served += 1;
                        outcome = flow.stay_idle(Instant::now() + interval).await;
                    }
                    if outcome != Outcome::Served {
                        break;
                    }
                }
                flow.finish();
            }
        }
        self.record.line(&format!(
            "flow {}-{port} ends: {served} served, then {outcome:?}",
            self.ip
        ));
        self.inboxes.lock().expect("no holder panics").remove(&port);
        (served, outcome)
    }

    /// Sends requests to `route` at this interval until the task is aborted.
    pub async fn send_steadily(self, route: SocketAddrV4, interval: Duration) {
        loop {
            let client = self.clone();
            tokio::spawn(async move { client.request(route, None).await });
            sleep(interval).await;
        }
    }
}

/// A flow that a client has opened.
struct Flow<'a> {
    client: &'a Client,
    route: SocketAddrV4,
    via: Option<Ipv4Addr>,
    port: u16,
    packets: &'a mut mpsc::UnboundedReceiver<EndpointPacket>,
    /// Sequence number of the client's next data.
    sequence: u32,
    /// Sequence number of the target's next data.
    expected: u32,
}

impl<'a> Flow<'a> {
    /// Opens a flow, or returns how the attempt ended.
    async fn open(
        client: &'a Client,
        route: SocketAddrV4,
        via: Option<Ipv4Addr>,
        port: u16,
        packets: &'a mut mpsc::UnboundedReceiver<EndpointPacket>,
    ) -> Result<Flow<'a>, Outcome> {
        let start = Instant::now();
        let mut flow = Flow {
            client,
            route,
            via,
            port,
            packets,
            sequence: FIRST_SEQUENCE,
            expected: 0,
        };
        for index in 0..SYN_TIMES_MS.len() {
            flow.send(flags::SYN, FIRST_SEQUENCE, index as u32, vec![]);
            let next = SYN_TIMES_MS
                .get(index + 1)
                .map_or(OPEN_TIMEOUT, |next| Duration::from_millis(*next));
            while let Ok(Some(packet)) = timeout_at(start + next, flow.packets.recv()).await {
                if packet.flags & flags::RST != 0 {
                    return Err(Outcome::Refused);
                }
                if packet.flags == flags::SYN | flags::ACK {
                    flow.sequence = FIRST_SEQUENCE + 1;
                    flow.expected = packet.sequence.wrapping_add(1);
                    return Ok(flow);
                }
            }
        }
        Err(Outcome::NotOpened)
    }

    /// Sends a request, again and again, until it is answered or the flow is reset.
    async fn ask(&mut self, id: &str, deadline: Instant) -> Outcome {
        let host = self.route.ip();
        let request = format!("GET /{id} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {id}\r\n\r\n");
        let mut pause = Duration::from_millis(200);
        while Instant::now() < deadline {
            self.send(
                flags::ACK,
                self.sequence,
                self.expected,
                request.clone().into_bytes(),
            );
            let due = (Instant::now() + pause).min(deadline);
            pause = (pause * 2).min(Duration::from_millis(1_600));
            while let Ok(Some(packet)) = timeout_at(due, self.packets.recv()).await {
                if packet.flags & flags::RST != 0 {
                    return Outcome::Reset;
                }
                if packet.data.is_empty() || packet.sequence != self.expected {
                    continue;
                }
                self.expected = self.expected.wrapping_add(packet.data.len() as u32);
                self.sequence = self.sequence.wrapping_add(request.len() as u32);
                let text = String::from_utf8_lossy(&packet.data);
                let is_own = text.contains(&format!("answer to {id} by "));
                return if is_own {
                    Outcome::Served
                } else {
                    Outcome::Wrong
                };
            }
        }
        Outcome::NotAnswered
    }

    /// Sends nothing until `end`, unless the flow is reset.
    async fn stay_idle(&mut self, end: Instant) -> Outcome {
        self.send(flags::ACK, self.sequence, self.expected, vec![]);
        while let Ok(Some(packet)) = timeout_at(end, self.packets.recv()).await {
            if packet.flags & flags::RST != 0 {
                return Outcome::Reset;
            }
        }
        Outcome::Served
    }

    fn finish(&self) {
        self.send(
            flags::FIN | flags::ACK,
            self.sequence,
            self.expected,
            vec![],
        );
    }

    fn send(&self, flags: u8, sequence: u32, acknowledged: u32, data: Vec<u8>) {
        let caller = SocketAddrV4::new(self.client.ip, self.port);
        let packet = EndpointPacket {
            from: caller,
            to: self.route,
            flags,
            sequence,
            acknowledged,
            data,
        };
        let router = &self.client.router;
        let to = self.via.map(|ip| SocketAddrV4::new(ip, router.packet_port));
        let to = to.unwrap_or_else(|| router.pick(&self.client.zone, caller, self.route));
        // A frontend that is down refuses the packet, which is lost.
        let _ = self.client.socket.try_send_to(&packet.encode(), to.into());
    }
}
