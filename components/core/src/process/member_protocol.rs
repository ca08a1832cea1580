//! The membership protocol of a balancer.

mod merging;
mod probing;
mod spreading;

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    Rng, //
};

use super::{
    heartbeat_plan::plan_digest,
    ByteBudget,
    ByteClass,
    FailureDetector,
    GossipQueue,
    Heartbeat,
    HeartbeatAck,
    HeartbeatPlan,
    HeartbeatWatch,
    MemberAction,
    MemberEvent,
    MemberList,
    MemberRecord,
    MemberState,
    PeerChoice,
    PeerMessage,
    VersionPull,
    MAX_MESSAGE_LEN, //
};
use crate::Millis;

/// Bytes that carry each control message: IP and UDP headers, tunnel header and tag.
pub const DATAGRAM_OVERHEAD: usize = 28 + 64;

/// Default rate of sent control bytes per second. The remaining quarter of the target of 4 KB/s is
/// for bulk syncs.
const DEFAULT_RATE: u32 = 3_072;

/// Default rate of bulk bytes per second.
const DEFAULT_BULK_RATE: u32 = 1_024;

/// Size of the bucket for datagrams, in bytes. It lets the loss of a data centre, which happens once
/// or twice a year, spread at the full gossip rate for some seconds.
const BURST: u32 = 65_536;

/// Size of the bucket for bulk syncs, in bytes.
const BULK_BURST: u32 = 65_536;

/// Interval of probes of random peers.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Members asked to probe one that didn't answer.
const INDIRECT_PROBES: usize = 3;

/// Further members of a data centre that are probed at once when one of them didn't answer, so
/// that the loss of a whole data centre is noticed within seconds.
const WIDER_PROBES: usize = 2;

/// Most pending probes up to which further ones are started.
const WIDER_LIMIT: usize = 8;

/// Interval of messages that only carry changes.
const GOSSIP_INTERVAL: Millis = Millis(200);

/// Peers told at once of a new version; with each of them doing the same, all but about
/// `exp(-6)` of the fleet hear of it, and the rest by the probes of the next second.
const VERSION_FANOUT: usize = 6;

/// How long peers and agents are told again of a new version.
const VERSION_SPREAD: Millis = Millis(3_000);

/// Interval at which agents that still show an older version are told again.
const AGENT_NOTICE_INTERVAL: Millis = Millis(500);

/// Interval at which a random dead balancer is probed, so that split regions find each other.
const DEAD_PROBE_INTERVAL: Millis = Millis(10_000);

/// Interval of introductions at bootstrap addresses; it doubles after the start.
const MIN_SEEK_INTERVAL: Millis = Millis(1_000);
const MAX_SEEK_INTERVAL: Millis = Millis(10_000);

/// Interval of pruning.
const PRUNE_INTERVAL: Millis = Millis(60_000);

/// Share of the member list checked for assigned agents in each tick: all in 50 ticks, and in 10
/// after a change of balancers, which may leave agents without anybody who expects their heartbeats.
const ASSIGN_PARTS: usize = 50;
const HURRIED_PARTS: usize = 10;

/// A sync starts when the own list hasn't changed for the first span and this many digests differed
/// from it since, or when all digests differed for the second span. A single equal digest proves
/// nothing in the first case: processes that started together may be equal and all incomplete.
const MISMATCH_QUIET: Millis = Millis(3_000);
const SETTLED_MISMATCHES: u32 = 2;
const MISMATCH_BUSY: Millis = Millis(15_000);

/// Shortest interval of syncs and of attempts to join.
const SYNC_INTERVAL: Millis = Millis(10_000);
const JOIN_INTERVAL: Millis = Millis(1_000);

/// Largest batch of a bulk sync whose records are passed on one by one.
const MAX_PASSED_ON: usize = 32;

/// Gap between ticks after which this process must have been paused.
const PAUSE_GAP: Millis = Millis(1_500);

/// Silence of everybody after which this member must be cut off and accuses nobody.
const ISOLATION_SILENCE: Millis = Millis(3_000);

/// Age from which a record that contradicts a late one is passed on again.
const SETTLED_AGE: Millis = Millis(10_000);

/// Accusations kept until the accused member is asked, and the number asked in each tick.
const MAX_CHALLENGES: usize = 4_096;
const CHALLENGES_PER_TICK: usize = 2;

/// Accusations up to which each balancer asks each accused agent itself.
const FEW_CHALLENGES: usize = 64;

/// Above that, of this many balancers that don't watch an accused agent, one asks it.
const CHALLENGE_ONE_IN: u32 = 8;

/// Least room for changes for which a message is sent.
const MIN_CHANGE_ROOM: usize = 160;

/// Room left for the fields of a message other than its records.
const MESSAGE_FRAME: usize = 40;

/// Collects the settings of a [`MemberProtocol`].
#[derive(Clone, Debug)]
pub struct ProtocolBuilder {
    own: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    rate: u32,
    bulk_rate: u32,
}

impl ProtocolBuilder {
    /// Sets the addresses at which peers are sought while none is known.
    pub fn bootstrap(mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        self.bootstrap = addresses.into_iter().collect();
        self
    }

    /// Sets the rates of control bytes per second, in datagrams and in bulk.
    pub fn rates(mut self, rate: u32, bulk_rate: u32) -> Self {
        self.rate = rate;
        self.bulk_rate = bulk_rate;
        self
    }

    /// Returns the protocol, which starts at its first tick.
    pub fn build(self) -> MemberProtocol {
        let mut protocol = MemberProtocol {
            own: self.own,
            rng: self.rng,
            bootstrap: self.bootstrap,
            list: MemberList::default(),
            queue: GossipQueue::default(),
            detector: FailureDetector::default(),
            watch: HeartbeatWatch::default(),
            plan: HeartbeatPlan::default(),
            peers: PeerChoice::default(),
            peers_epoch: 0,
            versions: VersionPull::default(),
            keys: VersionPull::default(),
            budget: ByteBudget::new(self.rate, BURST),
            bulk: ByteBudget::new(self.bulk_rate, BULK_BURST),
            challenges: Vec::new(),
            confirming: Vec::new(),
            timers: ProtocolTimers::default(),
            seek_interval: MIN_SEEK_INTERVAL,
            joined: false,
            evacuates_centre: false,
            mismatch_since: None,
            mismatches: 0,
            assign_at: 0,
            assign_hurry: 0,
            actions: Vec::new(),
        };
        protocol.list.merge(Millis(0), protocol.own.clone());
        protocol.queue.push(protocol.own.address);
        protocol.refresh_peers();
        protocol
    }
}

/// When each periodic duty is due next, and when something last happened.
#[derive(Clone, Debug, Default)]
struct ProtocolTimers {
    probe: Millis,
    gossip: Millis,
    prune: Millis,
    dead_probe: Millis,
    sync: Millis,
    seek: Millis,
    agent_notice: Millis,
    spread_until: Millis,
    last_tick: Option<Millis>,
    last_contact: Millis,
    last_change: Millis,
}

/// Keeps the member list of a balancer: `(now, event)` in, actions out.
#[derive(Clone, Debug)]
pub struct MemberProtocol {
    own: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    list: MemberList,
    queue: GossipQueue,
    detector: FailureDetector,
    watch: HeartbeatWatch,
    plan: HeartbeatPlan,
    peers: PeerChoice,
    peers_epoch: u64,
    versions: VersionPull,
    keys: VersionPull,
    budget: ByteBudget,
    bulk: ByteBudget,
    challenges: Vec<MemberRecord>,
    /// Members that were asked because another balancer takes them for dead.
    confirming: Vec<SocketAddrV4>,
    timers: ProtocolTimers,
    seek_interval: Millis,
    joined: bool,
    evacuates_centre: bool,
    mismatch_since: Option<Millis>,
    mismatches: u32,
    assign_at: usize,
    assign_hurry: usize,
    actions: Vec<MemberAction>,
}

impl MemberProtocol {
    /// Starts the settings of the protocol of the balancer `own`.
    pub fn builder(own: MemberRecord, rng: SmallRng) -> ProtocolBuilder {
        ProtocolBuilder {
            own,
            rng,
            bootstrap: Vec::new(),
            rate: DEFAULT_RATE,
            bulk_rate: DEFAULT_BULK_RATE,
        }
    }

    /// Adds addresses at which peers are sought while none is known.
    pub fn add_bootstrap(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        for address in addresses {
            if address != self.own.address && !self.bootstrap.contains(&address) {
                self.bootstrap.push(address);
            }
        }
    }

    /// Returns the member list.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Returns the balancer's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns whether the member list was received from a peer, or there is nobody to ask.
    pub fn is_joined(&self) -> bool {
        self.joined || self.bootstrap.is_empty()
    }

    /// Returns the number of members under suspicion.
    pub fn suspected(&self) -> usize {
        self.detector.suspected()
    }

    /// Returns the number of agents whose heartbeats are expected or arrive.
    pub fn watched(&self) -> usize {
        self.watch.len()
    }

    /// Returns the number of changes that wait to be passed on.
    pub fn waiting_changes(&self) -> usize {
        self.queue.len()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<MemberProtocol>()
            + self.list.memory()
            + self.detector.memory()
            + self.watch.memory()
            + self.peers.memory()
            + self.plan.memory()
            + self.challenges.capacity() * size_of::<MemberRecord>()
    }

    /// Returns the digest of each bucket, for a bulk sync.
    pub fn buckets(&self) -> &[u64] {
        self.list.buckets()
    }

    /// Answers a bulk sync: returns the records of the buckets that differ from `theirs`, or `None`
    /// while earlier syncs have used up the budget.
    pub fn answer_sync(&mut self, now: Millis, theirs: &[u64]) -> Option<Vec<MemberRecord>> {
        if !self.bulk.has_room(now) {
            return None;
        }
        let differing = self.list.differing(theirs).into_iter();
        let records: Vec<MemberRecord> = differing.map(MemberRecord::for_message).collect();
        let bytes: usize = records.iter().map(MemberRecord::wire_len).sum();
        self.bulk.charge(now, bytes);
        Some(records)
    }

    /// Announces another state of this balancer, such as [`MemberState::Draining`] before it stops
    /// and [`MemberState::Dead`] when it does.
    pub fn announce(&mut self, now: Millis, state: MemberState) -> Vec<MemberAction> {
        self.own.sequence += 1;
        self.own.state = state;
        self.publish_own(now);
        for peer in self.peers.pick_some(&mut self.rng, VERSION_FANOUT, None) {
            let message = PeerMessage::Gossip(self.changes(MAX_MESSAGE_LEN, None));
            self.send(now, ByteClass::Version, peer, message);
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles `event` and returns what should be done.
    pub fn handle(&mut self, now: Millis, event: MemberEvent) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received {
                from,
                version,
                message,
            } => self.receive(now, from, version, message),
            MemberEvent::VersionAdopted {
                number,
                evacuates_centre,
            } => {
                self.adopt(now, number, evacuates_centre);
            }
            MemberEvent::KeyRingAdopted { version } => self.adopt_keys(now, version),
            MemberEvent::VersionFetchFailed => self.versions.failed(now, &mut self.rng),
            MemberEvent::KeyFetchFailed => self.keys.failed(now, &mut self.rng),
            MemberEvent::SyncCompleted { peer, records } => self.synced(now, peer, records),
            MemberEvent::RecordsPushed { peer, records } => self.merge_bulk(now, peer, records),
            MemberEvent::SyncFailed => self.timers.sync = now.plus(JOIN_INTERVAL),
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        self.excuse_pause(now);
        self.fetch_due(now);
        self.probe_due(now);
        self.judge_due(now);
        self.gossip_due(now);
        self.notify_agents_due(now);
        self.watch_due(now);
        self.challenge_due(now);
        self.housekeeping_due(now);
    }

    /// Restarts all waits if this process was paused or is cut off: then silence says nothing about
    /// the others.
    fn excuse_pause(&mut self, now: Millis) {
        let Some(last) = self.timers.last_tick.replace(now) else {
            self.timers.last_contact = now;
            self.timers.probe = now.plus(Millis(self.rng.random_range(0..PROBE_INTERVAL.0)));
            return;
        };
        let gap = now.since(last);
        if gap >= PAUSE_GAP {
            self.detector.forgive(gap);
            self.confirming.clear();
            self.watch.forgive(now);
            self.timers.last_contact = now;
        } else if now.since(self.timers.last_contact) >= ISOLATION_SILENCE {
            self.detector.forgive(gap);
            self.confirming.clear();
        }
    }

    fn housekeeping_due(&mut self, now: Millis) {
        if now >= self.timers.prune {
            self.timers.prune = now.plus(PRUNE_INTERVAL);
            let pruned = self.list.prune(now);
            self.actions
                .extend(pruned.into_iter().map(MemberAction::MemberPruned));
        }
        if now >= self.timers.dead_probe {
            self.timers.dead_probe = now.plus(DEAD_PROBE_INTERVAL);
            if let Some(target) = self.dead_balancer() {
                let number = self.detector.next_number();
                self.send_probe(now, target, number, None);
            }
        }
    }

    fn receive(&mut self, now: Millis, from: SocketAddrV4, version: u32, message: PeerMessage) {
        self.timers.last_contact = now;
        self.detector.heard(from);
        self.confirming.retain(|&address| address != from);
        if let Some(from) = self.versions.saw(now, version, from) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.on_heartbeat(now, from, version, heartbeat),
            PeerMessage::Gossip(gossip) => self.on_gossip(now, from, version, gossip),
            PeerMessage::Probe(probe) => self.on_probe(now, from, probe),
            PeerMessage::ProbeAck(probe) => self.on_probe_ack(now, from, probe),
            PeerMessage::ProbeRequest { number, target } => {
                self.on_probe_request(now, from, number, target);
            }
            PeerMessage::HeartbeatAck(_) => {}
        }
    }

    fn on_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        version: u32,
        heartbeat: Heartbeat,
    ) {
        if let Some(record) = heartbeat.member {
            if record.address == from {
                self.take_over(now, record, false);
            }
        }
        self.saw_keys(now, heartbeat.key_version, from);
        self.watch.heard(now, from, version);
        let mut ack = self.ack_for(from, Some(heartbeat.balancers_digest));
        let held = self.list.find(from);
        if held.is_some_and(|record| record.incarnation < heartbeat.incarnation) {
            ack.sequence = 0;
        }
        if let Some(record) = held.filter(|record| record.incarnation > heartbeat.incarnation) {
            ack.disputed_record = Some(record.for_message());
        }
        self.send(
            now,
            ByteClass::Liveness,
            from,
            PeerMessage::HeartbeatAck(ack),
        );
    }

    /// Returns the ack for an agent that uses the balancers with digest `plan`.
    fn ack_for(&self, agent: SocketAddrV4, plan: Option<u32>) -> HeartbeatAck {
        let mut ack = HeartbeatAck {
            key_version: self.keys.held(),
            ..HeartbeatAck::default()
        };
        let Some(record) = self.list.find(agent) else {
            return ack;
        };
        ack.sequence = record.sequence;
        ack.disputed_record = self.belief_about(agent);
        if let Some(plan) = plan {
            let choice = self.plan.choose(record);
            if plan_digest(&choice) != plan {
                ack.balancers = choice;
            }
        }
        ack
    }

    /// Returns the record of a member that should refute it.
    fn belief_about(&self, address: SocketAddrV4) -> Option<MemberRecord> {
        let record = self.list.find(address)?;
        record.state.is_accusation().then(|| record.for_message())
    }
}
