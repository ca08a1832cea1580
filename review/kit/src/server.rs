//! Stand-in for a target: flows over UDP, and heartbeats over HTTP.

use std::{
    collections::HashMap,
    io::{Read, Write},
    net::{SocketAddrV4, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    log::{CaseLog, FlowKey},
    packet::{Packet, ACK, BOUNCED, FIN, RST, SYN},
};

/// Requests that wait for a slot; further ones are rejected as not run.
const QUEUE_LIMIT: usize = 28;

/// Factor of the work of a request at a cold target; `cold_x` in the site file.
const COLD_FACTOR: f64 = 1.6;

const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const MAX_RETRANSMISSION: Duration = Duration::from_millis(1_600);
const MAX_RETRANSMISSIONS: u32 = 8;

/// Addresses and properties of a target.
#[derive(Clone, Debug)]
pub struct ServerSettings {
    pub name: String,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddrV4,
    pub outgoing: SocketAddrV4,
    pub heartbeats: SocketAddrV4,
    pub heartbeat_interval: Duration,
    /// Time until the first heartbeat.
    pub first_heartbeat: Duration,
    pub slots: usize,
    pub work: Duration,
    /// How far the time of day of its machine is ahead, in milliseconds.
    pub clock_ahead_ms: u64,
}

struct Shared {
    settings: ServerSettings,
    log: CaseLog,
    stopped: AtomicBool,
    draining: AtomicBool,
    /// Time in ms of the log when the draining was acknowledged; zero before.
    drain_acknowledged: AtomicU64,
    cold_until: Mutex<Option<Instant>>,
}

/// A running target.
pub struct Server {
    shared: Arc<Shared>,
    serving: JoinHandle<()>,
}

impl Server {
    /// Starts a target that is cold for `cold`.
    pub fn start(
        settings: ServerSettings,
        cold: Duration,
        log: CaseLog,
    ) -> std::io::Result<Server> {
        let socket = UdpSocket::bind(settings.address)?;
        let now_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis());
        let born = now_ms as u64 + settings.clock_ahead_ms;
        log.note(format!(
            "{} ({}) starts, id {}, born {born}",
            settings.name, settings.service, settings.id
        ));
        let shared = Arc::new(Shared {
            settings,
            log,
            stopped: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            drain_acknowledged: AtomicU64::new(0),
            cold_until: Mutex::new((!cold.is_zero()).then(|| Instant::now() + cold)),
        });
        let (serving, beating) = (shared.clone(), shared.clone());
        thread::spawn(move || send_heartbeats(&beating, born));
        let serving = thread::spawn(move || Serving::new(serving, socket).run());
        Ok(Server { shared, serving })
    }

    pub fn settings(&self) -> &ServerSettings {
        &self.shared.settings
    }

    /// Makes the target cold from now on.
    pub fn turn_cold(&self, cold: Duration) {
        *self.shared.cold_until.lock().expect("not poisoned") = Some(Instant::now() + cold);
        self.shared
            .log
            .note(format!("{} turns cold", self.shared.settings.name));
    }

    /// Reports `draining` from the next heartbeat on, which is sent at once.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Returns when the draining was acknowledged.
    pub fn drain_acknowledged(&self) -> Option<u64> {
        let at = self.shared.drain_acknowledged.load(Ordering::SeqCst);
        (at > 0).then_some(at)
    }

    /// Deregisters and exits.
    pub fn leave(self) {
        let settings = &self.shared.settings;
        let status = call(settings.heartbeats, "DELETE", &settings.id, "");
        self.shared.log.note(format!(
            "{} deregisters ({status:?}) and exits",
            settings.name
        ));
        self.end();
    }

    /// Ends without a word.
    pub fn crash(self) {
        self.shared
            .log
            .note(format!("{} crashes", self.shared.settings.name));
        self.end();
    }

    fn end(self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // The address is free once this thread has ended.
        let _ = self.serving.join();
    }
}

impl Shared {
    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn cold_left(&self) -> Duration {
        let until = *self.cold_until.lock().expect("not poisoned");
        until.map_or(Duration::ZERO, |until| {
            until.saturating_duration_since(Instant::now())
        })
    }
}

fn send_heartbeats(shared: &Shared, born: u64) {
    let settings = &shared.settings;
    let mut sequence = 0;
    let mut was_draining = false;
    let mut due = Instant::now() + settings.first_heartbeat;
    while !shared.is_stopped() {
        let is_draining = shared.draining.load(Ordering::SeqCst);
        if Instant::now() < due && is_draining == was_draining {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        due = Instant::now() + settings.heartbeat_interval;
        was_draining = is_draining;
        sequence += 1;
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":{},\"State\":\"{}\",\"ColdRemainingMs\":{},\"Sequence\":{sequence},\
             \"born\":{born}}}",
            settings.service,
            settings.address,
            settings.zone,
            settings.slots,
            if is_draining { "draining" } else { "ready" },
            shared.cold_left().as_millis(),
        );
        let status = call(settings.heartbeats, "PUT", &settings.id, &body);
        let is_first = shared.drain_acknowledged.load(Ordering::SeqCst) == 0;
        if is_draining && is_first && status.is_some_and(|status| status / 100 == 2) {
            let at = shared
                .log
                .note(format!("{}: draining is acknowledged", settings.name));
            shared.drain_acknowledged.store(at, Ordering::SeqCst);
        }
    }
}

/// Makes a call of the service discovery, and returns the status if it arrives within a second.
fn call(address: SocketAddrV4, method: &str, id: &str, body: &str) -> Option<u16> {
    let timeout = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address.into(), timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let request = format!(
        "{method} /carobdrum/instances/{id} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = [0; 512];
    let length = stream.read(&mut bytes).ok()?;
    let head = std::str::from_utf8(&bytes[..length]).ok()?;
    head.split(' ').nth(1)?.parse().ok()
}

/// A flow that the target holds, or one that has ended.
struct Flow {
    /// First sequence number of the target.
    first: u32,
    caller_next: u32,
    /// Sequence number of the target's next byte.
    own_next: u32,
    is_ended: bool,
    /// Bytes of the request that isn't complete yet.
    received: Vec<u8>,
    /// Whether the flow ends after the response.
    is_last: bool,
    response: Option<Response>,
}

/// Response that isn't acknowledged yet.
struct Response {
    packets: Vec<Packet>,
    /// Sequence number after its last byte.
    end: u32,
    due: Instant,
    interval: Duration,
    sent: u32,
}

struct Serving {
    shared: Arc<Shared>,
    socket: UdpSocket,
    flows: HashMap<FlowKey, Flow>,
    next_first: u32,
    /// End of the work of each slot.
    slots: Vec<Instant>,
    /// Requests at work or in the queue: the end of the work, and the flow.
    working: Vec<(Instant, FlowKey)>,
}

impl Serving {
    fn new(shared: Arc<Shared>, socket: UdpSocket) -> Serving {
        let started = Instant::now();
        let slots = vec![started; shared.settings.slots];
        let next_first = u32::from(shared.settings.address.ip().octets()[3]) << 24 | 7_919;
        Serving {
            shared,
            socket,
            flows: HashMap::new(),
            next_first,
            slots,
            working: Vec::new(),
        }
    }

    fn run(mut self) {
        let mut buffer = [0; 2_048];
        let _ = self.socket.set_read_timeout(Some(Duration::from_millis(2)));
        while !self.shared.is_stopped() {
            if let Ok((length, _)) = self.socket.recv_from(&mut buffer) {
                self.handle(&buffer[..length]);
            }
            self.finish_work();
            self.retransmit();
        }
    }

    fn send(&self, bytes: &[u8]) {
        // While the agent is down, the packet is lost.
        let _ = self.socket.send_to(bytes, self.shared.settings.outgoing);
    }

    fn handle(&mut self, bytes: &[u8]) {
        let Some(packet) = Packet::decode(bytes) else {
            self.shared.log.changed_packet();
            return;
        };
        let key = (packet.from, packet.to);
        if packet.flags & SYN != 0 {
            self.accept(key, &packet);
            return;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            self.bounce(bytes);
            return;
        };
        // The packet must acknowledge this target's own sequence number.
        if packet.acknowledged.wrapping_sub(flow.first) > 1 << 20 {
            self.bounce(bytes);
            return;
        }
        if flow.is_ended {
            self.answer_ended(key, &packet);
            return;
        }
        if packet.flags & RST != 0 {
            flow.is_ended = true;
            return;
        }
        let is_acknowledged =
            |response: &Response| packet.acknowledged.wrapping_sub(response.end) < 1 << 20;
        if flow.response.as_ref().is_some_and(is_acknowledged) {
            flow.response = None;
        }
        if !packet.data.is_empty() && packet.sequence == flow.caller_next {
            flow.caller_next = packet.sequence.wrapping_add(packet.data.len() as u32);
            flow.received.extend_from_slice(&packet.data);
            if let Some(is_last) = take_request(&mut flow.received) {
                flow.is_last = is_last;
                self.begin_work(key);
            }
        }
        if packet.flags & FIN != 0 {
            self.close(key, &packet);
        }
    }

    fn bounce(&self, bytes: &[u8]) {
        let mut returned = bytes.to_vec();
        returned[8] |= BOUNCED;
        returned[9] = 0;
        self.send(&returned);
    }

    fn accept(&mut self, key: FlowKey, packet: &Packet) {
        let settings = &self.shared.settings;
        self.shared
            .log
            .taken(key, &settings.name, &settings.service);
        let first = self.next_first;
        let flow = self.flows.entry(key).or_insert_with(|| Flow {
            first,
            caller_next: packet.sequence.wrapping_add(1),
            own_next: first.wrapping_add(1),
            is_ended: false,
            received: Vec::new(),
            is_last: false,
            response: None,
        });
        if flow.first == first {
            self.next_first = first.wrapping_add(100_003);
        }
        let reply = reply(key, flow, SYN | ACK, flow.first, Vec::new());
        self.send(&reply.encode());
    }

    fn answer_ended(&mut self, key: FlowKey, packet: &Packet) {
        let flow = &self.flows[&key];
        let flags = if packet.flags & FIN != 0 { ACK } else { RST };
        if flags == ACK || !packet.data.is_empty() {
            self.send(&reply(key, flow, flags, packet.acknowledged, Vec::new()).encode());
        }
    }

    fn close(&mut self, key: FlowKey, packet: &Packet) {
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.is_ended = true;
            flow.response = None;
        }
        self.answer_ended(key, packet);
    }

    fn begin_work(&mut self, key: FlowKey) {
        let settings = &self.shared.settings;
        let now = Instant::now();
        if self.working.len() >= settings.slots + QUEUE_LIMIT {
            self.respond(
                key,
                "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
            );
            return;
        }
        let is_cold = !self.shared.cold_left().is_zero();
        let work = if is_cold {
            settings.work.mul_f64(COLD_FACTOR)
        } else {
            settings.work
        };
        self.shared.log.ran(key, &settings.name, &settings.service);
        let Some(slot) = self.slots.iter_mut().min() else {
            return;
        };
        *slot = (*slot).max(now) + work;
        self.working.push((*slot, key));
    }

    fn finish_work(&mut self) {
        let now = Instant::now();
        let done: Vec<FlowKey> = self
            .working
            .iter()
            .filter(|work| work.0 <= now)
            .map(|work| work.1)
            .collect();
        self.working.retain(|work| work.0 > now);
        for key in done {
            let body = format!("served by {}", self.shared.settings.name);
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Response-Signature: s\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            self.respond(key, &text);
        }
    }

    fn respond(&mut self, key: FlowKey, text: &str) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let data = text.as_bytes().to_vec();
        let sequence = flow.own_next;
        let end = sequence.wrapping_add(data.len() as u32);
        flow.own_next = end;
        let mut packets = vec![reply(key, flow, ACK, sequence, data)];
        if flow.is_last {
            packets.push(reply(key, flow, FIN | ACK, end, Vec::new()));
        }
        flow.response = Some(Response {
            packets,
            end,
            due: Instant::now(),
            interval: FIRST_RETRANSMISSION,
            sent: 0,
        });
        self.retransmit();
    }

    fn retransmit(&mut self) {
        let now = Instant::now();
        let mut packets = Vec::new();
        for flow in self.flows.values_mut() {
            let Some(response) = &mut flow.response else {
                continue;
            };
            if response.due > now {
                continue;
            }
            packets.extend(response.packets.iter().map(Packet::encode));
            response.due = now + response.interval;
            response.interval = (response.interval * 2).min(MAX_RETRANSMISSION);
            response.sent += 1;
            if response.sent > MAX_RETRANSMISSIONS {
                flow.response = None;
                flow.is_ended = true;
            }
        }
        for packet in packets {
            self.send(&packet);
        }
    }
}

/// Removes a complete request from the received bytes, and returns whether it is the flow's last one.
fn take_request(received: &mut Vec<u8>) -> Option<bool> {
    let end = received
        .windows(4)
        .position(|window| window == b"\r\n\r\n")?
        + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "));
    let length: usize = length.and_then(|length| length.parse().ok()).unwrap_or(0);
    if received.len() < end + length {
        return None;
    }
    received.drain(..end + length);
    Some(head.contains("Connection: close"))
}

fn reply(key: FlowKey, flow: &Flow, flags: u8, sequence: u32, data: Vec<u8>) -> Packet {
    Packet {
        from: key.1,
        to: key.0,
        flags,
        sequence,
        acknowledged: flow.caller_next,
        data,
    }
}
