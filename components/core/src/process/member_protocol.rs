//! The membership protocol of a balancer.

mod heartbeats;
mod merging;
mod probing;
mod protocol_builder;
mod spreading;

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    Rng, //
};

pub use protocol_builder::ProtocolBuilder;

use super::{
    ByteBudget,
    ByteClass,
    FailureDetector,
    FetchSchedule,
    GossipQueue,
    HeartbeatAssignment,
    HeartbeatMonitor,
    MemberAction,
    MemberEvent,
    MemberList,
    MemberRecord,
    MemberState,
    PeerChoice,
    PeerMessage,
    MAX_MESSAGE_LEN, //
};
use crate::Millis;

/// Bytes added to each control message in a datagram: IP and UDP headers, tunnel header and tag.
pub const DATAGRAM_OVERHEAD: usize = 28 + 64;

/// Default rate of control bytes sent in datagrams, per second. The rest of the target of 4 KB/s, a
/// quarter, is for bulk syncs.
const DEFAULT_DATAGRAM_RATE: u32 = 3_072;

/// Default rate of bytes sent in bulk syncs, per second.
const DEFAULT_BULK_RATE: u32 = 1_024;

/// Size of the token bucket for datagrams, in bytes. After the loss of a data centre, which happens
/// once or twice a year, it allows gossip at the full rate for some seconds.
const DATAGRAM_BURST: u32 = 65_536;

/// Size of the token bucket for bulk syncs, in bytes.
const BULK_BURST: u32 = 65_536;

/// Interval of probes, each of one random peer.
const PROBE_INTERVAL: Millis = Millis(1_000);

/// Number of peers that are asked for an indirect probe.
const INDIRECT_PROBES: usize = 3;

/// Number of other balancers in the data centre of a newly suspected balancer that are probed at
/// once, so that the loss of a whole data centre is detected within seconds.
const NEIGHBOUR_PROBES: usize = 2;

/// Number of probes in flight at which no further neighbours are probed.
const NEIGHBOUR_PROBE_LIMIT: usize = 8;

/// Interval of gossip messages.
const GOSSIP_INTERVAL: Millis = Millis(200);

/// Number of peers to which a new version is announced at once. Since each of them does the same,
/// it reaches all but about `exp(-6)` of the fleet; the rest learns of it from the probes of the
/// next second.
const VERSION_FANOUT: usize = 6;

/// Time for which the announcement of a new version to peers and agents is repeated.
const VERSION_ANNOUNCE_DURATION: Millis = Millis(3_000);

/// Interval of announcements to the agents whose heartbeats show an older version.
const AGENT_ANNOUNCE_INTERVAL: Millis = Millis(500);

/// Interval of probes of a random dead balancer, by which regions find each other again after a
/// network partition.
const DEAD_PROBE_INTERVAL: Millis = Millis(10_000);

/// First interval of probes of bootstrap addresses, and the upper limit as it doubles.
const MIN_BOOTSTRAP_INTERVAL: Millis = Millis(1_000);
const MAX_BOOTSTRAP_INTERVAL: Millis = Millis(10_000);

/// Interval at which expired records of dead members are removed.
const PRUNE_INTERVAL: Millis = Millis(60_000);

/// Number of ticks in which the whole member list is checked for agents assigned to this balancer.
/// After a change of balancers there may be agents whose heartbeats no balancer monitors, so the
/// next check of the whole list takes fewer ticks.
const ASSIGNMENT_CHECK_TICKS: usize = 50;
const FAST_ASSIGNMENT_CHECK_TICKS: usize = 10;

/// A bulk sync starts if the own list hasn't changed for `STABLE_LIST_TIME` and
/// `STABLE_LIST_MISMATCHES` digests have differed from it since, or if all digests have differed
/// for `MAX_MISMATCH_TIME`. In the first case a single equal digest doesn't prevent the sync,
/// because processes that started together may have equal lists that are all incomplete.
const STABLE_LIST_TIME: Millis = Millis(3_000);
const STABLE_LIST_MISMATCHES: u32 = 2;
const MAX_MISMATCH_TIME: Millis = Millis(15_000);

/// Shortest interval of bulk syncs, and the shorter one after a failed sync and while none has
/// succeeded yet.
const SYNC_INTERVAL: Millis = Millis(10_000);
const JOIN_INTERVAL: Millis = Millis(1_000);

/// Largest number of records in a bulk sync whose changes are gossiped.
const MAX_GOSSIPED_BATCH: usize = 32;

/// Time between two ticks at which the process counts as having been paused.
const PAUSE_THRESHOLD: Millis = Millis(1_500);

/// Time without any message after which this balancer counts as isolated and reports no failures.
const ISOLATION_TIMEOUT: Millis = Millis(3_000);

/// Age at which a record is gossiped again when a stale one of the same member arrives.
const STABLE_RECORD_AGE: Millis = Millis(10_000);

/// Largest number of failure reports that wait for verification, and the number verified in each
/// tick.
const MAX_VERIFICATIONS: usize = 4_096;
const VERIFICATIONS_PER_TICK: usize = 2;

/// Number of waiting failure reports below which a balancer verifies all reports about agents.
const VERIFY_ALL_LIMIT: usize = 64;

/// From that number on, a balancer that doesn't monitor a reported agent verifies the report with a
/// probability of one in this many.
const VERIFY_ONE_IN: u32 = 8;

/// Smallest number of bytes available for records at which a message carries any.
const MIN_GOSSIP_ROOM: usize = 160;

/// Number of bytes reserved for the fields of a message other than its records.
const MESSAGE_FIELDS_LEN: usize = 40;

/// Times at which periodic work is due next, and of the last tick, message and change.
#[derive(Clone, Debug, Default)]
struct ProtocolTimers {
    probe: Millis,
    gossip: Millis,
    prune: Millis,
    dead_probe: Millis,
    sync: Millis,
    bootstrap: Millis,
    agent_announcement: Millis,
    announce_until: Millis,
    last_tick: Option<Millis>,
    last_contact: Millis,
    last_change: Millis,
}

/// Maintains the member list of a balancer.
///
/// Takes the current time and an event, and returns the actions that the caller is to run.
#[derive(Clone, Debug)]
pub struct MemberProtocol {
    own_record: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    list: MemberList,
    queue: GossipQueue,
    detector: FailureDetector,
    monitor: HeartbeatMonitor,
    assignment: HeartbeatAssignment,
    peers: PeerChoice,
    peers_epoch: u64,
    versions: FetchSchedule,
    keys: FetchSchedule,
    datagram_budget: ByteBudget,
    bulk_budget: ByteBudget,
    /// Failure reports that wait for verification.
    verifications: Vec<MemberRecord>,
    /// Members that are being probed because another balancer reported them dead.
    reported_dead: Vec<SocketAddrV4>,
    timers: ProtocolTimers,
    bootstrap_interval: Millis,
    joined: bool,
    /// Whether the version in force evacuates a data centre that the previous one didn't.
    evacuates_centre: bool,
    /// Time of the first differing digest since the last equal one or the last sync.
    first_mismatch: Option<Millis>,
    /// Number of differing digests since the list last changed or the last sync started.
    mismatches: u32,
    /// Position in the member list from which the check for assigned agents continues.
    next_check: usize,
    /// Number of members that remain to be checked at the faster rate.
    fast_checks: usize,
    actions: Vec<MemberAction>,
}

impl MemberProtocol {
    /// Creates a builder of the protocol of the balancer with `own_record`.
    pub fn builder(own_record: MemberRecord, rng: SmallRng) -> ProtocolBuilder {
        ProtocolBuilder::new(own_record, rng)
    }

    /// Adds addresses at which other balancers are found.
    pub fn add_bootstrap(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        for address in addresses {
            if address != self.own_record.address && !self.bootstrap.contains(&address) {
                self.bootstrap.push(address);
            }
        }
    }

    /// Returns the member list, which includes this balancer.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Returns the balancer's own record, as it is announced.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns whether the member list was received from a peer, or there is no bootstrap address
    /// to receive it from.
    pub fn is_joined(&self) -> bool {
        self.joined || self.bootstrap.is_empty()
    }

    /// Returns the number of suspected members.
    pub fn suspected(&self) -> usize {
        self.detector.suspected()
    }

    /// Returns the number of agents that are assigned to this balancer or have recently sent
    /// it heartbeats.
    pub fn monitored(&self) -> usize {
        self.monitor.len()
    }

    /// Returns the number of changes that are queued for gossip.
    pub fn queued_changes(&self) -> usize {
        self.queue.len()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<MemberProtocol>()
            + self.list.memory()
            + self.detector.memory()
            + self.monitor.memory()
            + self.peers.memory()
            + self.assignment.memory()
            + self.verifications.capacity() * size_of::<MemberRecord>()
    }

    /// Returns the digest of each bucket, to be sent in a bulk sync.
    pub fn buckets(&self) -> &[u64] {
        self.list.buckets()
    }

    /// Answers a bulk sync with the records of the buckets whose digests differ from `theirs`.
    /// Returns `None`, by which the sync is declined, while earlier syncs have used up the byte
    /// budget.
    pub fn answer_sync(&mut self, now: Millis, theirs: &[u64]) -> Option<Vec<MemberRecord>> {
        if !self.bulk_budget.has_room(now) {
            return None;
        }
        let differing = self.list.differing_records(theirs).into_iter();
        let records: Vec<MemberRecord> = differing.map(MemberRecord::message_copy).collect();
        let bytes: usize = records.iter().map(MemberRecord::wire_len).sum();
        self.bulk_budget.charge(now, bytes);
        Some(records)
    }

    /// Announces a new state of this balancer, such as [`MemberState::Draining`] before it stops
    /// and [`MemberState::Dead`] when it stops.
    pub fn announce(&mut self, now: Millis, state: MemberState) -> Vec<MemberAction> {
        self.own_record.sequence += 1;
        self.own_record.state = state;
        self.publish_own_record(now);
        for peer in self.peers.pick_some(&mut self.rng, VERSION_FANOUT, None) {
            let message = PeerMessage::Gossip(self.gossip_body(MAX_MESSAGE_LEN, None));
            self.send(now, ByteClass::Version, peer, message);
        }
        std::mem::take(&mut self.actions)
    }

    /// Handles `event` and returns the actions to run.
    pub fn handle(&mut self, now: Millis, event: MemberEvent) -> Vec<MemberAction> {
        match event {
            MemberEvent::Tick => self.tick(now),
            MemberEvent::Received {
                from,
                version,
                message,
            } => self.receive(now, from, version, message),
            MemberEvent::AgentSeen { agent } => self.introduce_to(now, agent),
            MemberEvent::VersionAdopted {
                number,
                evacuates_centre,
            } => {
                self.adopt(now, number, evacuates_centre);
            }
            MemberEvent::KeyRingAdopted { version } => self.adopt_keys(now, version),
            MemberEvent::VersionFetchFailed => self.versions.fetch_failed(now, &mut self.rng),
            MemberEvent::KeyFetchFailed => self.keys.fetch_failed(now, &mut self.rng),
            MemberEvent::SyncCompleted { peer, records } => self.synced(now, peer, records),
            MemberEvent::RecordsPushed { peer, records } => self.merge_bulk(now, peer, records),
            MemberEvent::SyncFailed => self.timers.sync = now.plus(JOIN_INTERVAL),
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        self.handle_pause(now);
        self.fetch_due(now);
        self.probe_due(now);
        self.check_failures(now);
        self.gossip_due(now);
        self.announce_to_agents_due(now);
        self.check_heartbeats(now);
        self.verify_due(now);
        self.run_maintenance(now);
    }

    /// Restarts the timeouts if this process was paused or is isolated, because the lack of
    /// messages then says nothing about the other members.
    fn handle_pause(&mut self, now: Millis) {
        let Some(last) = self.timers.last_tick.replace(now) else {
            self.timers.last_contact = now;
            self.timers.probe = now.plus(Millis(self.rng.random_range(0..PROBE_INTERVAL.0)));
            return;
        };
        let gap = now.since(last);
        if gap >= PAUSE_THRESHOLD {
            self.detector.restart_timeouts(gap);
            self.reported_dead.clear();
            self.monitor.restart_timeouts(now);
            self.timers.last_contact = now;
        } else if now.since(self.timers.last_contact) >= ISOLATION_TIMEOUT {
            self.detector.restart_timeouts(gap);
            self.reported_dead.clear();
        }
    }

    fn run_maintenance(&mut self, now: Millis) {
        if now >= self.timers.prune {
            self.timers.prune = now.plus(PRUNE_INTERVAL);
            let pruned = self.list.prune(now);
            self.actions
                .extend(pruned.into_iter().map(MemberAction::MemberPruned));
        }
        if now >= self.timers.dead_probe {
            self.timers.dead_probe = now.plus(DEAD_PROBE_INTERVAL);
            if let Some(target) = self.random_dead_balancer() {
                let number = self.detector.next_number();
                self.send_probe(now, target, number, None);
            }
        }
    }

    fn receive(&mut self, now: Millis, from: SocketAddrV4, version: u32, message: PeerMessage) {
        self.timers.last_contact = now;
        self.detector.cancel_probes(from);
        self.reported_dead.retain(|&address| address != from);
        if let Some(from) = self.versions.observe(now, version, from) {
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
}
