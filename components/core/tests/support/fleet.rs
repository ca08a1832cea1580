//! A fleet in one process: real protocol state, an in-memory message queue and seeded faults.

#![allow(dead_code, unreachable_pub)]

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_core::{
    process::{
        AgentAnnouncer,
        MemberAction,
        MemberEvent,
        MemberProtocol,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerMessage,
        DATAGRAM_OVERHEAD,
        MAX_MESSAGE_LEN, //
    },
    version::{
        ConfigVersion,
        OfferOutcome,
        VersionTracker, //
    },
    Millis,
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

const TICK: u64 = 100;
const PORT: u16 = 7_000;
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// Datagrams that a frozen process finds in its socket when it runs again.
const SOCKET_BUFFER: usize = 256;

/// Duration of a bulk exchange with a member that doesn't answer.
const BULK_TIMEOUT: u64 = 1_000;

/// Extra time of a bulk exchange in which a segment is lost.
const RETRANSMIT: u64 = 200;

/// Size and faults of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetShape {
    pub balancers: usize,
    pub agents: usize,
    pub centres: usize,
    pub loss: f64,
    /// Largest extra delay of a datagram; datagrams overtake each other by it.
    pub jitter: u64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub bulk_bytes: u64,
}

pub enum Role {
    Balancer(Box<MemberProtocol>),
    Agent(Box<AgentAnnouncer>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Run {
    Running,
    Frozen,
    Stopped,
}

pub struct SimNode {
    pub record: MemberRecord,
    pub role: Role,
    pub run: Run,
    pub tracker: VersionTracker,
    pub adopted_at: u64,
    pub traffic: Traffic,
    pub cpu: Duration,
    inbox: Vec<MemberEvent>,
}

enum Delivery {
    Tick,
    Event(MemberEvent),
    AskSync { from: usize, buckets: Vec<u64> },
    AskVersion { from: usize },
}

struct Entry {
    at: u64,
    order: u64,
    node: usize,
    incarnation: u64,
    delivery: Delivery,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.order == other.order
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct FleetSim {
    pub shape: FleetShape,
    pub nodes: Vec<SimNode>,
    pub now: u64,
    pub split: bool,
    /// Verdicts "dead" about members that run, as (time, observer, member).
    pub false_deaths: Vec<(u64, usize, usize)>,
    /// The first time that each observer took a stopped member for dead.
    pub noticed: Vec<(u64, usize, usize)>,
    pub largest_message: usize,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl FleetSim {
    /// Creates a fleet in which every balancer knows every member.
    pub fn warm(shape: FleetShape) -> FleetSim {
        let mut sim = FleetSim::cold(shape);
        let records: Vec<MemberRecord> = sim.nodes.iter().map(|node| node.record.clone()).collect();
        for id in 0..shape.balancers {
            let peer = sim.nodes[(id + 1) % shape.balancers].record.address;
            let event = MemberEvent::SyncCompleted {
                peer,
                records: records.clone(),
            };
            sim.apply(id, event);
        }
        sim
    }

    /// Creates a fleet in which every member knows only two bootstrap addresses.
    pub fn cold(shape: FleetShape) -> FleetSim {
        let mut sim = FleetSim {
            shape,
            nodes: Vec::new(),
            now: 0,
            split: false,
            false_deaths: Vec::new(),
            noticed: Vec::new(),
            largest_message: 0,
            rng: SmallRng::seed_from_u64(shape.seed),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for id in 0..shape.balancers + shape.agents {
            let node = sim.fresh_node(id, FIRST_INCARNATION + id as u64);
            sim.nodes.push(node);
            sim.start_ticks(id);
        }
        sim
    }

    fn fresh_node(&mut self, id: usize, incarnation: u64) -> SimNode {
        let record = self.record_of(id, incarnation);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let bootstrap = self.bootstrap(id);
        let role = match record.role {
            MemberRole::Balancer => {
                let builder = MemberProtocol::builder(record.clone(), rng);
                Role::Balancer(Box::new(builder.bootstrap(bootstrap).build()))
            }
            MemberRole::Agent => {
                let announcer = AgentAnnouncer::new(record.clone(), rng, bootstrap);
                Role::Agent(Box::new(announcer))
            }
        };
        SimNode {
            record,
            role,
            run: Run::Running,
            tracker: VersionTracker::default(),
            adopted_at: 0,
            traffic: Traffic::default(),
            cpu: Duration::ZERO,
            inbox: Vec::new(),
        }
    }

    /// Returns three of the entry points, of which there are two in each data centre.
    fn bootstrap(&self, id: usize) -> Vec<SocketAddrV4> {
        let entries = self.shape.balancers.min(2 * self.shape.centres);
        let turns = [id, id + 1, id + self.shape.centres];
        turns.map(|turn| address_of(turn % entries)).to_vec()
    }

    fn record_of(&self, id: usize, incarnation: u64) -> MemberRecord {
        let shape = self.shape;
        let (role, name) = match id < shape.balancers {
            true => (MemberRole::Balancer, format!("balancer-{id:04}")),
            false => (MemberRole::Agent, format!("placename-api-{id:04}")),
        };
        let centre = id % shape.centres;
        let region = region_of(centre, shape.centres);
        let builder = MemberRecord::builder(role, address_of(id), incarnation)
            .name(name)
            .location(format!("galway-{centre}"), format!("ie-west-{region}"));
        match role {
            MemberRole::Balancer => builder.build(),
            MemberRole::Agent => builder.slots(4, 255).build(),
        }
    }

    fn start_ticks(&mut self, id: usize) {
        let phase = self.rng.random_range(0..TICK);
        self.schedule(phase, id, Delivery::Tick);
    }

    pub fn is_balancer(&self, id: usize) -> bool {
        id < self.shape.balancers
    }

    pub fn protocol(&self, id: usize) -> &MemberProtocol {
        match &self.nodes[id].role {
            Role::Balancer(protocol) => protocol,
            Role::Agent(_) => panic!("node {id} is an agent"),
        }
    }

    /// Returns the running balancers.
    pub fn running_balancers(&self) -> Vec<usize> {
        let balancers = 0..self.shape.balancers;
        balancers
            .filter(|&id| self.nodes[id].run == Run::Running)
            .collect()
    }

    /// Returns the members of a data centre.
    pub fn in_centre(&self, centre: usize) -> Vec<usize> {
        let ids = 0..self.nodes.len();
        ids.filter(|id| id % self.shape.centres == centre).collect()
    }

    pub fn stop(&mut self, id: usize) {
        self.nodes[id].run = Run::Stopped;
    }

    pub fn freeze(&mut self, id: usize) {
        self.nodes[id].run = Run::Frozen;
    }

    /// Lets a frozen process go on with what its socket holds.
    pub fn thaw(&mut self, id: usize) {
        self.nodes[id].run = Run::Running;
        for event in std::mem::take(&mut self.nodes[id].inbox) {
            self.apply(id, event);
        }
        self.start_ticks(id);
    }

    /// Starts a new process at the address of a stopped one.
    pub fn restart(&mut self, id: usize) {
        let incarnation = self.nodes[id].record.incarnation + 1_000 + self.now;
        let mut node = self.fresh_node(id, incarnation);
        node.traffic = self.nodes[id].traffic;
        self.nodes[id] = node;
        self.start_ticks(id);
    }

    pub fn is_running(&self, id: usize) -> bool {
        self.nodes[id].run == Run::Running
    }

    /// Freezes a member if it runs.
    pub fn freeze_running(&mut self, id: usize) {
        if self.is_running(id) {
            self.freeze(id);
        }
    }

    /// Thaws or restarts a member if it doesn't run.
    pub fn revive(&mut self, id: usize) {
        match self.nodes[id].run {
            Run::Running => {}
            Run::Frozen => self.thaw(id),
            Run::Stopped => self.restart(id),
        }
    }

    /// Puts a version in force at a node if it runs.
    pub fn adopt_running(&mut self, id: usize, number: u32) {
        if self.is_running(id) {
            self.adopt(id, number, false);
        }
    }

    /// Puts a version in force at one node, as if read from the store.
    pub fn adopt(&mut self, id: usize, number: u32, evacuates_centre: bool) {
        let version = ConfigVersion {
            number,
            ..ConfigVersion::default()
        };
        if self.nodes[id].tracker.offer(version) == OfferOutcome::Adopted {
            self.nodes[id].adopted_at = self.now;
            self.apply(
                id,
                MemberEvent::VersionAdopted {
                    number,
                    evacuates_centre,
                },
            );
        }
    }

    /// Delivers a datagram outside the normal traffic.
    pub fn inject(&mut self, from: usize, to: usize, message: PeerMessage) {
        let event = MemberEvent::Received {
            from: address_of(from),
            version: 0,
            message,
        };
        self.apply(to, event);
    }

    pub fn run_for(&mut self, span: u64) {
        let end = self.now + span;
        while self.queue.peek().is_some_and(|entry| entry.0.at <= end) {
            let Reverse(entry) = self.queue.pop().expect("an entry was seen");
            self.now = entry.at;
            self.deliver(entry);
        }
        self.now = end;
    }

    /// Runs until `done` holds, checked every 100 ms; returns the time it took, if it did.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&FleetSim) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_for(TICK);
        }
        done(self).then_some(limit)
    }

    /// Returns whether every running balancer holds exactly the running members as live.
    pub fn is_converged(&self) -> bool {
        let running = |node: &&SimNode| node.run == Run::Running;
        let live = self.nodes.iter().filter(running).count();
        let ids = self.running_balancers();
        let mut digests = ids.iter().map(|&id| self.protocol(id).list().digest());
        let first = digests.next();
        digests.all(|digest| Some(digest) == first)
            && ids.iter().all(|&id| {
                let list = self.protocol(id).list();
                list.live_len() == live && self.protocol(id).suspected() == 0
            })
    }

    /// Returns how many running balancers hold the member in a state that `test` accepts.
    pub fn holders(&self, member: usize, test: impl Fn(MemberState) -> bool) -> usize {
        let holds = |&id: &usize| {
            let record = self.protocol(id).list().find(address_of(member));
            record.is_some_and(|record| test(record.state))
        };
        self.running_balancers().into_iter().filter(holds).count()
    }

    /// Returns whether every running balancer takes all of `members` for dead.
    pub fn all_noticed(&self, members: &[usize]) -> bool {
        let running = self.running_balancers().len();
        let dead = |state| state == MemberState::Dead;
        members.iter().all(|&id| self.holders(id, dead) == running)
    }

    pub fn version(&self, id: usize) -> u32 {
        self.nodes[id].tracker.number()
    }

    pub fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            node.traffic = Traffic::default();
            node.cpu = Duration::ZERO;
        }
    }

    fn schedule(&mut self, delay: u64, node: usize, delivery: Delivery) {
        self.order += 1;
        let entry = Entry {
            at: self.now + delay,
            order: self.order,
            node,
            incarnation: self.nodes[node].record.incarnation,
            delivery,
        };
        self.queue.push(Reverse(entry));
    }

    fn deliver(&mut self, entry: Entry) {
        let id = entry.node;
        let node = &mut self.nodes[id];
        match (node.run, entry.delivery) {
            (Run::Running, Delivery::Tick) => {
                if node.record.incarnation == entry.incarnation {
                    self.apply(id, MemberEvent::Tick);
                    self.schedule(TICK, id, Delivery::Tick);
                }
            }
            (Run::Running, Delivery::Event(event)) => self.deliver_event(id, event),
            (Run::Frozen, Delivery::Event(event)) => {
                if node.inbox.len() < SOCKET_BUFFER {
                    node.inbox.push(event);
                }
            }
            (Run::Running, Delivery::AskSync { from, buckets }) => {
                self.answer_sync(id, from, &buckets);
            }
            (Run::Running, Delivery::AskVersion { from }) => {
                let number = self.version(id);
                let delay = self.delay(id, from);
                let event = match number > self.version(from) {
                    true => MemberEvent::VersionAdopted {
                        number,
                        evacuates_centre: false,
                    },
                    false => MemberEvent::VersionFetchFailed,
                };
                self.schedule(delay, from, Delivery::Event(event));
            }
            (_, Delivery::AskSync { from, .. }) => {
                self.schedule(BULK_TIMEOUT, from, Delivery::Event(MemberEvent::SyncFailed));
            }
            (_, Delivery::AskVersion { from }) => {
                let event = Delivery::Event(MemberEvent::VersionFetchFailed);
                self.schedule(BULK_TIMEOUT, from, event);
            }
            (_, _) => {}
        }
    }

    fn deliver_event(&mut self, id: usize, event: MemberEvent) {
        if let MemberEvent::VersionAdopted {
            number,
            evacuates_centre,
        } = event
        {
            self.adopt(id, number, evacuates_centre);
            return;
        }
        if let MemberEvent::Received { message, .. } = &event {
            let traffic = &mut self.nodes[id].traffic;
            traffic.received += 1;
            traffic.received_bytes += (message.wire_len() + DATAGRAM_OVERHEAD) as u64;
        }
        self.apply(id, event);
    }

    fn answer_sync(&mut self, id: usize, from: usize, buckets: &[u64]) {
        let now = Millis(self.now);
        let Role::Balancer(protocol) = &mut self.nodes[id].role else {
            return;
        };
        let started = Instant::now();
        let answer = protocol.answer_sync(now, buckets);
        self.nodes[id].cpu += started.elapsed();
        let event = match answer {
            Some(records) => {
                self.count_bulk(id, from, &records);
                let peer = address_of(id);
                MemberEvent::SyncCompleted { peer, records }
            }
            None => MemberEvent::SyncFailed,
        };
        let delay = self.delay(id, from);
        self.schedule(delay, from, Delivery::Event(event));
    }

    fn count_bulk(&mut self, from: usize, to: usize, records: &[MemberRecord]) {
        let bytes: usize = records.iter().map(MemberRecord::wire_len).sum();
        self.nodes[from].traffic.bulk_bytes += bytes as u64;
        self.nodes[to].traffic.bulk_bytes += bytes as u64;
    }

    fn apply(&mut self, id: usize, event: MemberEvent) {
        let now = Millis(self.now);
        let started = Instant::now();
        let actions = match &mut self.nodes[id].role {
            Role::Balancer(protocol) => protocol.handle(now, event),
            Role::Agent(announcer) => announcer.handle(now, event),
        };
        self.nodes[id].cpu += started.elapsed();
        self.carry_out(id, actions);
    }

    /// Carries out actions of a node, also those of an announcement.
    pub fn carry_out(&mut self, id: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(id, to, message),
                MemberAction::Sync { with } => {
                    let buckets = self.protocol(id).buckets().to_vec();
                    let ask = Delivery::AskSync { from: id, buckets };
                    self.bulk(id, with, ask, MemberEvent::SyncFailed);
                }
                MemberAction::FetchVersion { from } => {
                    let ask = Delivery::AskVersion { from: id };
                    self.bulk(id, from, ask, MemberEvent::VersionFetchFailed);
                }
                MemberAction::Push { to, records } => {
                    self.count_bulk(id, id_of(to), &records);
                    let peer = address_of(id);
                    let push = Delivery::Event(MemberEvent::RecordsPushed { peer, records });
                    self.bulk(id, to, push, MemberEvent::SyncFailed);
                }
                MemberAction::MemberChanged(key) => self.note_change(id, key),
                MemberAction::FetchKeys { .. } | MemberAction::MemberPruned(_) => {}
            }
        }
    }

    fn note_change(&mut self, id: usize, key: carobdrum_core::process::MemberKey) {
        let Some(record) = self.protocol(id).list().get(key) else {
            return;
        };
        if record.state != MemberState::Dead {
            return;
        }
        let member = id_of(record.address);
        let current = record.incarnation >= self.nodes[member].record.incarnation;
        match self.nodes[member].run {
            Run::Running if current => self.false_deaths.push((self.now, id, member)),
            Run::Running => {}
            _ => self.noticed.push((self.now, id, member)),
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, message: PeerMessage) {
        let len = message.wire_len();
        assert!(len <= MAX_MESSAGE_LEN, "message of {len} bytes");
        self.largest_message = self.largest_message.max(len);
        let traffic = &mut self.nodes[from].traffic;
        traffic.sent += 1;
        traffic.sent_bytes += (len + DATAGRAM_OVERHEAD) as u64;
        let to = id_of(to);
        if self.is_cut(from, to) || self.rng.random_bool(self.shape.loss) {
            return;
        }
        let event = MemberEvent::Received {
            from: address_of(from),
            version: self.version(from),
            message,
        };
        let delay = self.delay(from, to);
        self.schedule(delay, to, Delivery::Event(event));
    }

    /// Starts a bulk exchange: a connection, its handshake and the request.
    fn bulk(&mut self, from: usize, to: SocketAddrV4, delivery: Delivery, failure: MemberEvent) {
        let to = id_of(to);
        if self.is_cut(from, to) {
            self.schedule(BULK_TIMEOUT, from, Delivery::Event(failure));
            return;
        }
        let lost = self.rng.random_bool(1.0 - (1.0 - self.shape.loss).powi(6));
        let retransmit = if lost { RETRANSMIT } else { 0 };
        let delay = 5 * self.delay(from, to) + retransmit;
        self.schedule(delay, to, delivery);
    }

    fn is_cut(&self, left: usize, right: usize) -> bool {
        self.split && self.region(left) != self.region(right)
    }

    pub fn region(&self, id: usize) -> usize {
        region_of(id % self.shape.centres, self.shape.centres)
    }

    /// Returns a random delay: below a millisecond in a data centre, 5 ms in a region and 12 ms
    /// between regions, and the jitter.
    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let centres = self.shape.centres;
        let base = match (
            from % centres == to % centres,
            self.region(from) == self.region(to),
        ) {
            (true, _) => 0,
            (false, true) => 5,
            (false, false) => 12,
        };
        base + self.rng.random_range(0..=self.shape.jitter)
    }
}

/// The first three fifths of the data centres are region 0.
fn region_of(centre: usize, centres: usize) -> usize {
    usize::from(centre * 5 >= centres * 3)
}

pub fn address_of(id: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::from(0x0a00_0000 + id as u32);
    SocketAddrV4::new(ip, PORT)
}

pub fn id_of(address: SocketAddrV4) -> usize {
    (u32::from(*address.ip()) - 0x0a00_0000) as usize
}
