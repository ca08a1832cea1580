//! Simulation of a fleet in one process: the real protocol state of each node, an in-memory message
//! queue and seeded faults.

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

const TICK_MS: u64 = 100;
const PORT: u16 = 7_000;
const FIRST_INCARNATION: u64 = 1_790_000_000_000;

/// Number of datagrams that the socket of a paused process holds until it resumes.
const SOCKET_BUFFER_LEN: usize = 256;

/// Duration of a bulk call to a member that doesn't respond.
const BULK_TIMEOUT_MS: u64 = 1_000;

/// Additional duration of a bulk call in which a segment is lost.
const RETRANSMIT_DELAY_MS: u64 = 200;

/// Size of a fleet and faults of its network.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    pub balancers: usize,
    pub agents: usize,
    pub data_centres: usize,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Largest additional delay of a datagram, in milliseconds; it makes datagrams arrive out of
    /// order.
    pub jitter: u64,
    pub seed: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct TrafficCounts {
    pub sent: u64,
    pub sent_bytes: u64,
    pub received: u64,
    pub received_bytes: u64,
    pub bulk_bytes: u64,
}

pub enum NodeRole {
    Balancer(Box<MemberProtocol>),
    Agent(Box<AgentAnnouncer>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Running,
    Paused,
    Stopped,
}

pub struct SimNode {
    pub record: MemberRecord,
    pub role: NodeRole,
    pub run_state: RunState,
    pub tracker: VersionTracker,
    /// Time at which the version in force was adopted, in milliseconds.
    pub adopted_at: u64,
    pub traffic: TrafficCounts,
    /// Time spent in the protocol.
    pub cpu: Duration,
    /// Events that arrived while the process was paused.
    inbox: Vec<MemberEvent>,
}

enum NodeDelivery {
    Tick,
    Event(MemberEvent),
    SyncRequest { from: usize, buckets: Vec<u64> },
    VersionRequest { from: usize },
}

struct QueueEntry {
    at: u64,
    order: u64,
    node: usize,
    incarnation: u64,
    delivery: NodeDelivery,
}

impl PartialEq for QueueEntry {
    fn eq(&self, other: &QueueEntry) -> bool {
        self.order == other.order
    }
}

impl Eq for QueueEntry {}

impl PartialOrd for QueueEntry {
    fn partial_cmp(&self, other: &QueueEntry) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueueEntry {
    fn cmp(&self, other: &QueueEntry) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct FleetSim {
    pub config: FleetConfig,
    pub nodes: Vec<SimNode>,
    /// Simulated time, in milliseconds.
    pub now: u64,
    /// Whether the two regions are partitioned from each other.
    pub partitioned: bool,
    /// Members that run but were recorded as dead, as (time, observer, member).
    pub false_deaths: Vec<(u64, usize, usize)>,
    /// Paused and stopped members that were recorded as dead, as (time, observer, member).
    pub detected_deaths: Vec<(u64, usize, usize)>,
    pub largest_message: usize,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<QueueEntry>>,
    order: u64,
}

impl FleetSim {
    /// Creates a fleet in which every balancer has a complete member list.
    pub fn with_full_lists(config: FleetConfig) -> FleetSim {
        let mut sim = FleetSim::with_bootstrap_only(config);
        let records: Vec<MemberRecord> = sim.nodes.iter().map(|node| node.record.clone()).collect();
        for id in 0..config.balancers {
            let peer = sim.nodes[(id + 1) % config.balancers].record.address;
            let event = MemberEvent::SyncCompleted {
                peer,
                records: records.clone(),
            };
            sim.apply(id, event);
        }
        sim
    }

    /// Creates a fleet in which every member knows only its bootstrap addresses.
    pub fn with_bootstrap_only(config: FleetConfig) -> FleetSim {
        let mut sim = FleetSim {
            config,
            nodes: Vec::new(),
            now: 0,
            partitioned: false,
            false_deaths: Vec::new(),
            detected_deaths: Vec::new(),
            largest_message: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            queue: BinaryHeap::new(),
            order: 0,
        };
        for id in 0..config.balancers + config.agents {
            let node = sim.new_node(id, FIRST_INCARNATION + id as u64);
            sim.nodes.push(node);
            sim.start_ticks(id);
        }
        sim
    }

    fn new_node(&mut self, id: usize, incarnation: u64) -> SimNode {
        let record = self.record_of(id, incarnation);
        let rng = SmallRng::seed_from_u64(self.rng.random());
        let bootstrap = self.bootstrap(id);
        let role = match record.role {
            MemberRole::Balancer => {
                let builder = MemberProtocol::builder(record.clone(), rng);
                NodeRole::Balancer(Box::new(builder.bootstrap(bootstrap).build()))
            }
            MemberRole::Agent => {
                let announcer = AgentAnnouncer::new(record.clone(), rng, bootstrap);
                NodeRole::Agent(Box::new(announcer))
            }
        };
        SimNode {
            record,
            role,
            run_state: RunState::Running,
            tracker: VersionTracker::default(),
            adopted_at: 0,
            traffic: TrafficCounts::default(),
            cpu: Duration::ZERO,
            inbox: Vec::new(),
        }
    }

    /// Returns three of the bootstrap addresses, of which there are two in each data centre.
    fn bootstrap(&self, id: usize) -> Vec<SocketAddrV4> {
        let bootstrap_count = self.config.balancers.min(2 * self.config.data_centres);
        let turns = [id, id + 1, id + self.config.data_centres];
        turns
            .map(|turn| address_of(turn % bootstrap_count))
            .to_vec()
    }

    fn record_of(&self, id: usize, incarnation: u64) -> MemberRecord {
        let config = self.config;
        let (role, name) = match id < config.balancers {
            true => (MemberRole::Balancer, format!("balancer-{id:04}")),
            false => (MemberRole::Agent, format!("placename-api-{id:04}")),
        };
        let centre = id % config.data_centres;
        let region = region_of(centre, config.data_centres);
        let builder = MemberRecord::builder(role, address_of(id), incarnation)
            .name(name)
            .location(format!("galway-{centre}"), format!("ie-west-{region}"));
        match role {
            MemberRole::Balancer => builder.build(),
            MemberRole::Agent => builder.slots(4, 255).build(),
        }
    }

    fn start_ticks(&mut self, id: usize) {
        let phase = self.rng.random_range(0..TICK_MS);
        self.schedule(phase, id, NodeDelivery::Tick);
    }

    pub fn is_balancer(&self, id: usize) -> bool {
        id < self.config.balancers
    }

    pub fn protocol(&self, id: usize) -> &MemberProtocol {
        match &self.nodes[id].role {
            NodeRole::Balancer(protocol) => protocol,
            NodeRole::Agent(_) => panic!("node {id} is an agent"),
        }
    }

    /// Returns the running balancers.
    pub fn running_balancers(&self) -> Vec<usize> {
        let balancers = 0..self.config.balancers;
        balancers
            .filter(|&id| self.nodes[id].run_state == RunState::Running)
            .collect()
    }

    /// Returns the members in a data centre.
    pub fn members_in(&self, centre: usize) -> Vec<usize> {
        let ids = 0..self.nodes.len();
        ids.filter(|id| id % self.config.data_centres == centre)
            .collect()
    }

    pub fn stop(&mut self, id: usize) {
        self.nodes[id].run_state = RunState::Stopped;
    }

    pub fn pause(&mut self, id: usize) {
        self.nodes[id].run_state = RunState::Paused;
    }

    /// Resumes a paused process, which first handles the datagrams in its socket.
    pub fn resume(&mut self, id: usize) {
        self.nodes[id].run_state = RunState::Running;
        for event in std::mem::take(&mut self.nodes[id].inbox) {
            self.apply(id, event);
        }
        self.start_ticks(id);
    }

    /// Starts a new process at the address of a stopped one.
    pub fn restart(&mut self, id: usize) {
        let incarnation = self.nodes[id].record.incarnation + 1_000 + self.now;
        let mut node = self.new_node(id, incarnation);
        node.traffic = self.nodes[id].traffic;
        self.nodes[id] = node;
        self.start_ticks(id);
    }

    pub fn is_running(&self, id: usize) -> bool {
        self.nodes[id].run_state == RunState::Running
    }

    pub fn pause_if_running(&mut self, id: usize) {
        if self.is_running(id) {
            self.pause(id);
        }
    }

    /// Resumes a paused member or restarts a stopped one.
    pub fn resume_or_restart(&mut self, id: usize) {
        match self.nodes[id].run_state {
            RunState::Running => {}
            RunState::Paused => self.resume(id),
            RunState::Stopped => self.restart(id),
        }
    }

    /// Puts a version in force at a node that runs; does nothing otherwise.
    pub fn adopt_if_running(&mut self, id: usize, number: u32) {
        if self.is_running(id) {
            self.adopt(id, number, false);
        }
    }

    /// Puts a version in force at one node, as if it had been read from the store.
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

    /// Delivers a datagram at once, without faults and without counting it.
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
            let Reverse(entry) = self.queue.pop().expect("the queue isn't empty");
            self.now = entry.at;
            self.deliver(entry);
        }
        self.now = end;
    }

    /// Runs until `done` returns true, which is checked every 100 ms. Returns the elapsed time, or
    /// `None` after `limit`; both in milliseconds.
    pub fn run_until(&mut self, limit: u64, done: impl Fn(&FleetSim) -> bool) -> Option<u64> {
        let start = self.now;
        while self.now - start < limit {
            if done(self) {
                return Some(self.now - start);
            }
            self.run_for(TICK_MS);
        }
        done(self).then_some(limit)
    }

    /// Returns whether all running balancers have equal digests, as many live members as are
    /// running, and no suspicions.
    pub fn is_converged(&self) -> bool {
        let running = |node: &&SimNode| node.run_state == RunState::Running;
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

    /// Returns how many running balancers have the member in a state that `test` accepts.
    pub fn count_holders(&self, member: usize, test: impl Fn(MemberState) -> bool) -> usize {
        let is_holder = |&id: &usize| {
            let record = self.protocol(id).list().find(address_of(member));
            record.is_some_and(|record| test(record.state))
        };
        self.running_balancers()
            .into_iter()
            .filter(is_holder)
            .count()
    }

    /// Returns whether every running balancer has recorded all of `members` as dead.
    pub fn all_detected_dead(&self, members: &[usize]) -> bool {
        let running = self.running_balancers().len();
        let dead = |state| state == MemberState::Dead;
        members
            .iter()
            .all(|&id| self.count_holders(id, dead) == running)
    }

    pub fn version(&self, id: usize) -> u32 {
        self.nodes[id].tracker.number()
    }

    pub fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            node.traffic = TrafficCounts::default();
            node.cpu = Duration::ZERO;
        }
    }

    fn schedule(&mut self, delay: u64, node: usize, delivery: NodeDelivery) {
        self.order += 1;
        let entry = QueueEntry {
            at: self.now + delay,
            order: self.order,
            node,
            incarnation: self.nodes[node].record.incarnation,
            delivery,
        };
        self.queue.push(Reverse(entry));
    }

    fn deliver(&mut self, entry: QueueEntry) {
        let id = entry.node;
        let node = &mut self.nodes[id];
        match (node.run_state, entry.delivery) {
            (RunState::Running, NodeDelivery::Tick) => {
                if node.record.incarnation == entry.incarnation {
                    self.apply(id, MemberEvent::Tick);
                    self.schedule(TICK_MS, id, NodeDelivery::Tick);
                }
            }
            (RunState::Running, NodeDelivery::Event(event)) => self.deliver_event(id, event),
            (RunState::Paused, NodeDelivery::Event(event)) => {
                if node.inbox.len() < SOCKET_BUFFER_LEN {
                    node.inbox.push(event);
                }
            }
            (RunState::Running, NodeDelivery::SyncRequest { from, buckets }) => {
                self.answer_sync(id, from, &buckets);
            }
            (RunState::Running, NodeDelivery::VersionRequest { from }) => {
                let number = self.version(id);
                let delay = self.delay(id, from);
                let event = match number > self.version(from) {
                    true => MemberEvent::VersionAdopted {
                        number,
                        evacuates_centre: false,
                    },
                    false => MemberEvent::VersionFetchFailed,
                };
                self.schedule(delay, from, NodeDelivery::Event(event));
            }
            (_, NodeDelivery::SyncRequest { from, .. }) => {
                self.schedule(
                    BULK_TIMEOUT_MS,
                    from,
                    NodeDelivery::Event(MemberEvent::SyncFailed),
                );
            }
            (_, NodeDelivery::VersionRequest { from }) => {
                let event = NodeDelivery::Event(MemberEvent::VersionFetchFailed);
                self.schedule(BULK_TIMEOUT_MS, from, event);
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
        let NodeRole::Balancer(protocol) = &mut self.nodes[id].role else {
            return;
        };
        let started = Instant::now();
        let answer = protocol.answer_sync(now, buckets);
        self.nodes[id].cpu += started.elapsed();
        let event = match answer {
            Some(records) => {
                self.count_bulk_bytes(id, from, &records);
                let peer = address_of(id);
                MemberEvent::SyncCompleted { peer, records }
            }
            None => MemberEvent::SyncFailed,
        };
        let delay = self.delay(id, from);
        self.schedule(delay, from, NodeDelivery::Event(event));
    }

    fn count_bulk_bytes(&mut self, from: usize, to: usize, records: &[MemberRecord]) {
        let bytes: usize = records.iter().map(MemberRecord::wire_len).sum();
        self.nodes[from].traffic.bulk_bytes += bytes as u64;
        self.nodes[to].traffic.bulk_bytes += bytes as u64;
    }

    fn apply(&mut self, id: usize, event: MemberEvent) {
        let now = Millis(self.now);
        let started = Instant::now();
        let actions = match &mut self.nodes[id].role {
            NodeRole::Balancer(protocol) => protocol.handle(now, event),
            NodeRole::Agent(announcer) => announcer.handle(now, event),
        };
        self.nodes[id].cpu += started.elapsed();
        self.run_actions(id, actions);
    }

    /// Runs the actions that a node's protocol returned, also those of an announcement.
    pub fn run_actions(&mut self, id: usize, actions: Vec<MemberAction>) {
        for action in actions {
            match action {
                MemberAction::Send { to, message } => self.send(id, to, message),
                MemberAction::Sync { with } => {
                    let buckets = self.protocol(id).buckets().to_vec();
                    let request = NodeDelivery::SyncRequest { from: id, buckets };
                    self.start_bulk(id, with, request, MemberEvent::SyncFailed);
                }
                MemberAction::FetchVersion { from } => {
                    let request = NodeDelivery::VersionRequest { from: id };
                    self.start_bulk(id, from, request, MemberEvent::VersionFetchFailed);
                }
                MemberAction::Push { to, records } => {
                    self.count_bulk_bytes(id, id_of(to), &records);
                    let peer = address_of(id);
                    let push = NodeDelivery::Event(MemberEvent::RecordsPushed { peer, records });
                    self.start_bulk(id, to, push, MemberEvent::SyncFailed);
                }
                MemberAction::MemberChanged(key) => self.record_death(id, key),
                MemberAction::FetchKeys { .. } | MemberAction::MemberPruned(_) => {}
            }
        }
    }

    /// Records that an observer's list has a member as dead.
    fn record_death(&mut self, id: usize, key: carobdrum_core::process::MemberKey) {
        let Some(record) = self.protocol(id).list().get(key) else {
            return;
        };
        if record.state != MemberState::Dead {
            return;
        }
        let member = id_of(record.address);
        let current = record.incarnation >= self.nodes[member].record.incarnation;
        match self.nodes[member].run_state {
            RunState::Running if current => self.false_deaths.push((self.now, id, member)),
            RunState::Running => {}
            _ => self.detected_deaths.push((self.now, id, member)),
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
        if self.is_partitioned(from, to) || self.rng.random_bool(self.config.loss) {
            return;
        }
        let event = MemberEvent::Received {
            from: address_of(from),
            version: self.version(from),
            message,
        };
        let delay = self.delay(from, to);
        self.schedule(delay, to, NodeDelivery::Event(event));
    }

    /// Starts a bulk call, which takes a connection, its handshake and the request.
    fn start_bulk(
        &mut self,
        from: usize,
        to: SocketAddrV4,
        delivery: NodeDelivery,
        failure: MemberEvent,
    ) {
        let to = id_of(to);
        if self.is_partitioned(from, to) {
            self.schedule(BULK_TIMEOUT_MS, from, NodeDelivery::Event(failure));
            return;
        }
        let lost = self.rng.random_bool(1.0 - (1.0 - self.config.loss).powi(6));
        let retransmit = if lost { RETRANSMIT_DELAY_MS } else { 0 };
        let delay = 5 * self.delay(from, to) + retransmit;
        self.schedule(delay, to, delivery);
    }

    fn is_partitioned(&self, left: usize, right: usize) -> bool {
        self.partitioned && self.region(left) != self.region(right)
    }

    pub fn region(&self, id: usize) -> usize {
        region_of(id % self.config.data_centres, self.config.data_centres)
    }

    /// Returns a random delay in milliseconds: none in a data centre, 5 ms in a region or 12 ms
    /// between regions, plus the jitter.
    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let data_centres = self.config.data_centres;
        let base = match (
            from % data_centres == to % data_centres,
            self.region(from) == self.region(to),
        ) {
            (true, _) => 0,
            (false, true) => 5,
            (false, false) => 12,
        };
        base + self.rng.random_range(0..=self.config.jitter)
    }
}

/// Returns the region of a data centre: 0 for the first three fifths of them, 1 for the others.
fn region_of(centre: usize, data_centres: usize) -> usize {
    usize::from(centre * 5 >= data_centres * 3)
}

pub fn address_of(id: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::from(0x0a00_0000 + id as u32);
    SocketAddrV4::new(ip, PORT)
}

pub fn id_of(address: SocketAddrV4) -> usize {
    (u32::from(*address.ip()) - 0x0a00_0000) as usize
}
