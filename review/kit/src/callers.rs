//! Stand-ins for the platform's routers and for the callers, which open a flow for each request.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    log::{CaseLog, FlowKey, Outcome},
    packet::{Packet, ACK, FIN, RST, SYN},
};

/// Times of the copies of an opening packet.
const OPENING_TIMES: [Duration; 3] = [
    Duration::from_millis(0),
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Time after which an attempt without an accepted flow ends.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_400);

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);

const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// A balancer as the routers know it.
struct Node {
    zone: String,
    packets: SocketAddrV4,
    ready: SocketAddrV4,
    misses: u32,
}

/// The platform's routers.
#[derive(Clone, Default)]
pub struct Router {
    nodes: Arc<Mutex<Vec<Node>>>,
}

impl Router {
    /// Adds a balancer, out of rotation until it is ready.
    pub fn add(&self, zone: &str, packets: SocketAddrV4, ready: SocketAddrV4) {
        let node = Node {
            zone: zone.into(),
            packets,
            ready,
            misses: 2,
        };
        self.nodes.lock().expect("not poisoned").push(node);
    }

    /// Probes the readiness of all balancers twice a second.
    pub fn start(&self) {
        let router = self.clone();
        thread::spawn(move || loop {
            let nodes = router.nodes.lock().expect("not poisoned");
            let addresses: Vec<SocketAddrV4> = nodes.iter().map(|node| node.ready).collect();
            drop(nodes);
            let probes = addresses.iter().map(|address| {
                let address = *address;
                thread::spawn(move || is_ready(address).unwrap_or(false))
            });
            let probes: Vec<JoinHandle<bool>> = probes.collect();
            for (index, probe) in probes.into_iter().enumerate() {
                let is_ready = probe.join().unwrap_or(false);
                let mut nodes = router.nodes.lock().expect("not poisoned");
                let node = &mut nodes[index];
                node.misses = if is_ready { 0 } else { node.misses + 1 };
            }
            thread::sleep(PROBE_INTERVAL);
        });
    }

    /// Returns how many balancers are in rotation.
    pub fn ready(&self) -> usize {
        let nodes = self.nodes.lock().expect("not poisoned");
        nodes.iter().filter(|node| node.misses < 2).count()
    }

    /// Returns the balancer for packets of a flow from `zone`, by the flow's hash: one of the zone's
    /// that are in rotation, or all of them if those are fewer than half.
    fn pick(&self, zone: &str, key: FlowKey) -> SocketAddrV4 {
        let nodes = self.nodes.lock().expect("not poisoned");
        let of_zone: Vec<&Node> = nodes.iter().filter(|node| node.zone == zone).collect();
        let rotating: Vec<&&Node> = of_zone.iter().filter(|node| node.misses < 2).collect();
        let hash = hash(key);
        if rotating.len() * 2 >= of_zone.len() && !rotating.is_empty() {
            rotating[hash % rotating.len()].packets
        } else if of_zone.is_empty() {
            nodes[hash % nodes.len()].packets
        } else {
            of_zone[hash % of_zone.len()].packets
        }
    }
}

fn hash(key: FlowKey) -> usize {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for address in [key.0, key.1] {
        for byte in address
            .ip()
            .octets()
            .into_iter()
            .chain(address.port().to_be_bytes())
        {
            hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
    (hash >> 20) as usize
}

fn is_ready(address: SocketAddrV4) -> Option<bool> {
    let mut stream = TcpStream::connect_timeout(&address.into(), PROBE_INTERVAL).ok()?;
    stream.set_read_timeout(Some(PROBE_INTERVAL)).ok()?;
    let request = "GET /carobdrum/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = [0; 64];
    let length = stream.read(&mut bytes).ok()?;
    Some(bytes[..length].starts_with(b"HTTP/1.1 200"))
}

/// A kind of requests of one zone's callers.
#[derive(Clone, Debug)]
pub struct Load {
    pub name: &'static str,
    pub route: SocketAddrV4,
    pub per_s: f64,
    pub deadline: Duration,
    pub is_idempotent: bool,
}

/// Callers of one zone; they share an address.
pub struct Callers {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Callers {
    /// Starts callers in `zone` at the address `ip`, where packets to them arrive at `port`.
    pub fn start(
        zone: &str,
        ip: Ipv4Addr,
        port: u16,
        loads: Vec<Load>,
        router: Router,
        log: CaseLog,
    ) -> std::io::Result<Callers> {
        let socket = UdpSocket::bind((ip, port))?;
        socket.set_read_timeout(Some(Duration::from_millis(1)))?;
        let stopped = Arc::new(AtomicBool::new(false));
        let mut calling = Calling {
            zone: zone.into(),
            ip,
            socket,
            router,
            log,
            flows: HashMap::new(),
            next_port: 1_024,
            number: 0,
        };
        let stop = stopped.clone();
        let thread = thread::spawn(move || calling.run(&loads, &stop));
        Ok(Callers { stopped, thread })
    }

    /// Sends no further requests, and waits for the open ones.
    pub fn stop(self) {
        self.stopped.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

struct Flow {
    id: String,
    load: Load,
    started: Instant,
    copies: usize,
    first: u32,
    /// First sequence number of the target that has accepted the flow.
    server_first: Option<u32>,
    due: Instant,
    interval: Duration,
}

struct Calling {
    zone: String,
    ip: Ipv4Addr,
    socket: UdpSocket,
    router: Router,
    log: CaseLog,
    flows: HashMap<FlowKey, Flow>,
    next_port: u16,
    number: u64,
}

impl Calling {
    fn run(&mut self, loads: &[Load], stop: &AtomicBool) {
        let started = Instant::now();
        let mut opened = vec![0u64; loads.len()];
        let mut buffer = [0; 2_048];
        loop {
            let is_stopping = stop.load(Ordering::SeqCst);
            for (load, opened) in loads.iter().zip(&mut opened) {
                let owed = (started.elapsed().as_secs_f64() * load.per_s) as u64;
                while !is_stopping && *opened < owed {
                    *opened += 1;
                    self.open(load);
                }
            }
            if is_stopping && self.flows.is_empty() {
                return;
            }
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
            self.send_due();
        }
    }

    fn open(&mut self, load: &Load) {
        self.next_port = if self.next_port == u16::MAX {
            1_024
        } else {
            self.next_port + 1
        };
        self.number += 1;
        let key = (SocketAddrV4::new(self.ip, self.next_port), load.route);
        let id = format!("{}-{}-{}", load.name, self.zone, self.number);
        self.log
            .sent(key, id.clone(), self.router.pick(&self.zone, key));
        let now = Instant::now();
        let flow = Flow {
            id,
            load: load.clone(),
            started: now,
            copies: 0,
            first: self.number as u32 * 1_000_003,
            server_first: None,
            due: now,
            interval: FIRST_RETRANSMISSION,
        };
        self.flows.insert(key, flow);
        self.send_due();
    }

    fn send(&self, packet: &Packet) {
        let balancer = self.router.pick(&self.zone, (packet.from, packet.to));
        // A balancer that is down gets nothing; the packet is lost.
        let _ = self.socket.send_to(&packet.encode(), balancer);
    }

    fn send_due(&mut self) {
        let now = Instant::now();
        let mut ended = Vec::new();
        let mut packets = Vec::new();
        for (key, flow) in &mut self.flows {
            if flow.due > now {
                continue;
            }
            let age = now - flow.started;
            match flow.server_first {
                None if flow.copies == OPENING_TIMES.len() => {
                    ended.push((*key, Outcome::NotOpened))
                }
                None => {
                    packets.push(Packet {
                        from: key.0,
                        to: key.1,
                        flags: SYN,
                        sequence: flow.first,
                        acknowledged: flow.copies as u32,
                        data: Vec::new(),
                    });
                    flow.copies += 1;
                    let next = OPENING_TIMES
                        .get(flow.copies)
                        .copied()
                        .unwrap_or(OPEN_TIMEOUT);
                    flow.due = flow.started + next;
                }
                Some(_) if age >= flow.load.deadline => ended.push((*key, Outcome::Deadline)),
                Some(server_first) => {
                    packets.push(request(*key, flow, server_first));
                    let deadline = flow.started + flow.load.deadline;
                    flow.due = (now + flow.interval).min(deadline);
                    flow.interval = (flow.interval * 2).min(MAX_RETRANSMISSION);
                }
            }
        }
        for packet in packets {
            self.send(&packet);
        }
        for (key, outcome) in ended {
            self.end(key, outcome);
        }
    }

    fn end(&mut self, key: FlowKey, outcome: Outcome) {
        self.flows.remove(&key);
        self.log.ended(key, outcome);
    }

    fn handle(&mut self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            self.log.changed_packet();
            return;
        };
        let key = (packet.to, packet.from);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        if packet.flags & RST != 0 {
            let was_open = flow.server_first.is_some();
            self.end(key, Outcome::Reset { was_open });
            return;
        }
        if packet.flags == SYN | ACK {
            if flow.server_first.is_none() {
                flow.server_first = Some(packet.sequence);
                flow.due = Instant::now();
                self.send_due();
            }
            return;
        }
        let Some(server_first) = flow.server_first else {
            return;
        };
        if packet.data.is_empty() {
            return;
        }
        let text = String::from_utf8_lossy(&packet.data);
        let status = text
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let request_len = request(key, flow, server_first).data.len() as u32;
        let finish = Packet {
            from: key.0,
            to: key.1,
            flags: FIN | ACK,
            sequence: flow.first.wrapping_add(1).wrapping_add(request_len),
            acknowledged: packet
                .sequence
                .wrapping_add(packet.data.len() as u32)
                .wrapping_add(1),
            data: Vec::new(),
        };
        self.send(&finish);
        self.end(key, Outcome::Answered(status));
    }
}

/// Returns the packet of a flow's request, which also ends the handshake.
fn request(key: FlowKey, flow: &Flow, server_first: u32) -> Packet {
    let method = if flow.load.is_idempotent {
        "GET"
    } else {
        "POST"
    };
    let data = format!(
        "{method} / HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {}\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n",
        key.1, flow.id
    );
    Packet {
        from: key.0,
        to: key.1,
        flags: ACK,
        sequence: flow.first.wrapping_add(1),
        acknowledged: server_first.wrapping_add(1),
        data: data.into_bytes(),
    }
}
