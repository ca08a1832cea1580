//! The membership protocol of a balancer.

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    seq::IndexedRandom,
    Rng, //
};

use super::{
    heartbeat_plan::plan_digest,
    ByteBudget,
    ByteClass,
    FailureDetector,
    GossipBody,
    GossipQueue,
    Heartbeat,
    HeartbeatAck,
    HeartbeatPlan,
    HeartbeatWatch,
    MemberAction,
    MemberEvent,
    MemberKey,
    MemberList,
    MemberRecord,
    MemberRole,
    MemberState,
    MergeVerdict,
    PeerChoice,
    PeerMessage,
    ProbeBody,
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
            takes_out: false,
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
    takes_out: bool,
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
            MemberEvent::VersionAdopted { number, takes_out } => {
                self.adopt(now, number, takes_out);
            }
            MemberEvent::KeysAdopted { version } => self.adopt_keys(now, version),
            MemberEvent::VersionFailed => self.versions.failed(now, &mut self.rng),
            MemberEvent::KeysFailed => self.keys.failed(now, &mut self.rng),
            MemberEvent::Synced { peer, records } => self.synced(now, peer, records),
            MemberEvent::Pushed { peer, records } => self.merge_bulk(now, peer, records),
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

    fn fetch_due(&mut self, now: Millis) {
        if let Some(from) = self.versions.due(now) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        if let Some(from) = self.keys.due(now) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }

    fn probe_due(&mut self, now: Millis) {
        if now < self.timers.probe {
            return;
        }
        self.timers.probe = now.plus(PROBE_INTERVAL);
        if let Some(peer) = self.peers.pick(&mut self.rng) {
            self.probe(now, peer);
        }
        if self.peers.is_empty() || now >= self.timers.seek {
            self.timers.seek = now.plus(self.seek_interval);
            self.seek_interval = Millis(self.seek_interval.0 * 2).min(MAX_SEEK_INTERVAL);
            self.seek(now);
        }
        if !self.joined && !self.peers.is_empty() && now >= self.timers.sync {
            if let Some(peer) = self.peers.pick(&mut self.rng) {
                self.start_sync(now, peer, JOIN_INTERVAL);
            }
        }
    }

    /// Introduces this member at a bootstrap address that isn't known as a live balancer.
    ///
    /// This goes on after the first peer is known, because processes that start together may
    /// otherwise form groups that don't know of each other.
    fn seek(&mut self, now: Millis) {
        let list = &self.list;
        let unknown = |address: &&SocketAddrV4| {
            let record = list.find(**address);
            record.is_none_or(|record| record.state == MemberState::Dead)
        };
        let sought: Vec<SocketAddrV4> = self.bootstrap.iter().filter(unknown).copied().collect();
        let Some(&address) = sought.choose(&mut self.rng) else {
            return;
        };
        let probe = ProbeBody {
            number: self.detector.next_number(),
            gossip: self.changes(0, None),
            member: Some(self.own.clone()),
        };
        self.send(now, ByteClass::Liveness, address, PeerMessage::Probe(probe));
    }

    fn probe(&mut self, now: Millis, target: SocketAddrV4) {
        if let Some(number) = self.detector.begin(now, target) {
            self.send_probe(now, target, number, None);
        }
    }

    fn send_probe(
        &mut self,
        now: Millis,
        target: SocketAddrV4,
        number: u32,
        accusation: Option<MemberRecord>,
    ) {
        let belief = accusation.or_else(|| self.belief_about(target));
        let member = belief.is_some().then(|| self.own.clone());
        let room = self.change_room(now) / 2;
        let probe = ProbeBody {
            number,
            gossip: self.changes(room, belief),
            member,
        };
        self.send(now, ByteClass::Liveness, target, PeerMessage::Probe(probe));
    }

    /// Widens, fails and confirms what is due in the detector.
    ///
    /// A widened probe is also repeated directly. Under 5% loss this makes false suspicions ten
    /// times rarer; at 530 balancers each of them costs a change at every balancer.
    fn judge_due(&mut self, now: Millis) {
        for (number, target) in self.detector.widen(now) {
            self.send_probe(now, target, number, None);
            let helpers = self
                .peers
                .pick_some(&mut self.rng, INDIRECT_PROBES, Some(target));
            for helper in helpers {
                let message = PeerMessage::ProbeRequest { number, target };
                self.send(now, ByteClass::Liveness, helper, message);
            }
        }
        for target in self.detector.failed(now) {
            self.fail(now, target);
        }
        for target in self.detector.due_probes(now) {
            let number = self.detector.next_number();
            self.send_probe(now, target, number, None);
        }
        for target in self.detector.confirmed(now) {
            self.accuse(now, target, MemberState::Dead);
        }
    }

    /// Judges a member that answered no probe: dead if it was asked because another balancer takes
    /// it for dead, which has waited for a refutation already, and suspect otherwise.
    fn fail(&mut self, now: Millis, target: SocketAddrV4) {
        let confirmed = self
            .confirming
            .iter()
            .position(|&address| address == target);
        match confirmed {
            Some(at) => {
                self.confirming.swap_remove(at);
                self.accuse(now, target, MemberState::Dead);
            }
            None => self.suspect(now, target),
        }
    }

    fn suspect(&mut self, now: Millis, target: SocketAddrV4) {
        self.accuse(now, target, MemberState::Suspect);
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.role != MemberRole::Balancer || self.detector.pending() >= WIDER_LIMIT {
            return;
        }
        let centre = record.data_centre.clone();
        for _ in 0..WIDER_PROBES {
            let neighbour = self.neighbour(&centre);
            if let Some(neighbour) = neighbour {
                self.probe(now, neighbour);
            }
        }
    }

    /// Returns a random balancer of a data centre that isn't suspected.
    fn neighbour(&mut self, centre: &str) -> Option<SocketAddrV4> {
        let list = &self.list;
        let own = self.own.address;
        let near: Vec<SocketAddrV4> = list
            .balancers()
            .iter()
            .filter_map(|&key| list.get(key))
            .filter(|record| record.data_centre == centre && record.address != own)
            .filter(|record| !record.state.is_accusation())
            .map(|record| record.address)
            .collect();
        near.choose(&mut self.rng).copied()
    }

    fn accuse(&mut self, now: Millis, target: SocketAddrV4, state: MemberState) {
        let Some(record) = self.list.find(target) else {
            return;
        };
        if record.state < state {
            let accusation = record.with_state(state);
            self.take_over(now, accusation, true);
        }
    }

    /// Merges a record and does what a change calls for.
    fn take_over(&mut self, now: Millis, record: MemberRecord, own_verdict: bool) -> MergeVerdict {
        let address = record.address;
        let verdict = self.list.merge(now, record);
        if let Some(key) = verdict.taken() {
            if self.is_passed_on(key) {
                self.queue.push(address);
            }
            self.timers.last_change = now;
            self.mismatches = 0;
            self.actions.push(MemberAction::Changed(key));
            self.follow_state(now, key, own_verdict);
            self.refresh_peers();
        }
        verdict
    }

    /// Returns whether changes of the member are passed on now. Suspicions of agents aren't: the
    /// balancers that expect its heartbeats tell the agent themselves.
    fn is_passed_on(&self, key: MemberKey) -> bool {
        self.list.get(key).is_some_and(|record| {
            record.role == MemberRole::Balancer || record.state != MemberState::Suspect
        })
    }

    fn follow_state(&mut self, now: Millis, key: MemberKey, own_verdict: bool) {
        let Some(record) = self.list.get(key) else {
            return;
        };
        match record.state {
            MemberState::Suspect => self.detector.suspect(now, record, own_verdict),
            MemberState::Dead => {
                self.detector.clear(record.address);
                self.detector.heard(record.address);
                self.watch.remove(record.address);
            }
            _ => self.detector.clear(record.address),
        }
    }

    fn refresh_peers(&mut self) {
        if self.peers_epoch == self.list.balancer_epoch() {
            return;
        }
        self.peers_epoch = self.list.balancer_epoch();
        self.peers = PeerChoice::new(&self.list, &self.own);
        self.plan = HeartbeatPlan::new(&self.list);
        self.assign_hurry = self.list.len();
    }

    fn gossip_due(&mut self, now: Millis) {
        if now < self.timers.gossip {
            return;
        }
        self.timers.gossip = now.plus(GOSSIP_INTERVAL);
        let spreading = now < self.timers.spread_until;
        if self.queue.is_empty() && !spreading {
            return;
        }
        let Some(peer) = self.peers.pick(&mut self.rng) else {
            return;
        };
        let room = self.change_room(now);
        if !spreading && room == 0 {
            return;
        }
        let class = self.notice_class(spreading);
        let message = PeerMessage::Gossip(self.changes(room, None));
        self.send(now, class, peer, message);
    }

    /// Returns the number of bytes of changes that a message may carry now, or 0 if too few.
    fn change_room(&mut self, now: Millis) -> usize {
        let room = self.budget.room(now).min(MAX_MESSAGE_LEN);
        match room.saturating_sub(DATAGRAM_OVERHEAD) {
            small if small < MIN_CHANGE_ROOM => 0,
            room => room,
        }
    }

    fn notice_class(&self, spreading: bool) -> ByteClass {
        match (spreading, self.takes_out) {
            (true, true) => ByteClass::TakeOut,
            (true, false) => ByteClass::Version,
            (false, _) => ByteClass::Membership,
        }
    }

    fn notify_agents_due(&mut self, now: Millis) {
        if now >= self.timers.spread_until || now < self.timers.agent_notice {
            return;
        }
        self.timers.agent_notice = now.plus(AGENT_NOTICE_INTERVAL);
        let class = self.notice_class(true);
        for agent in self.watch.behind(now, self.versions.held()) {
            let ack = self.ack_for(agent, None);
            self.send(now, class, agent, PeerMessage::HeartbeatAck(ack));
        }
    }

    fn watch_due(&mut self, now: Millis) {
        let parts = match self.assign_hurry {
            0 => ASSIGN_PARTS,
            _ => HURRIED_PARTS,
        };
        let part = self.list.len().div_ceil(parts);
        self.assign_hurry = self.assign_hurry.saturating_sub(part);
        for _ in 0..part {
            self.assign_next(now);
        }
        for agent in self.watch.silent(now) {
            let known = self.list.find(agent).map(|record| record.state);
            match known {
                Some(state) if !state.is_accusation() => self.probe(now, agent),
                Some(_) => {}
                None => self.watch.remove(agent),
            }
        }
    }

    /// Checks for one member whether it is an agent that should use this balancer.
    fn assign_next(&mut self, now: Millis) {
        let at = self.assign_at;
        self.assign_at = (at + 1) % self.list.len().max(1);
        let Some((_, record)) = self.list.at(at) else {
            return;
        };
        if record.role != MemberRole::Agent || record.state == MemberState::Dead {
            return;
        }
        let ours = self.plan.is_chosen(record, self.own.address);
        self.watch.assign(now, record.address, ours);
    }

    /// Asks some of the accused members to refute.
    fn challenge_due(&mut self, now: Millis) {
        for _ in 0..CHALLENGES_PER_TICK {
            if !self.budget.has_room(now) {
                return;
            }
            let Some(accusation) = self.challenges.pop() else {
                return;
            };
            let target = accusation.address;
            if let Some(number) = self.detector.begin(now, target) {
                if accusation.state == MemberState::Dead {
                    self.confirming.push(target);
                }
                self.send_probe(now, target, number, Some(accusation));
            }
        }
    }

    fn housekeeping_due(&mut self, now: Millis) {
        if now >= self.timers.prune {
            self.timers.prune = now.plus(PRUNE_INTERVAL);
            let pruned = self.list.prune(now);
            self.actions
                .extend(pruned.into_iter().map(MemberAction::Pruned));
        }
        if now >= self.timers.dead_probe {
            self.timers.dead_probe = now.plus(DEAD_PROBE_INTERVAL);
            if let Some(target) = self.dead_balancer() {
                let number = self.detector.next_number();
                self.send_probe(now, target, number, None);
            }
        }
    }

    fn dead_balancer(&mut self) -> Option<SocketAddrV4> {
        let dead: Vec<SocketAddrV4> = self
            .list
            .iter()
            .map(|(_, record)| record)
            .filter(|record| record.role == MemberRole::Balancer)
            .filter(|record| record.state == MemberState::Dead)
            .map(|record| record.address)
            .collect();
        dead.choose(&mut self.rng).copied()
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
        let mut ack = self.ack_for(from, Some(heartbeat.plan));
        let held = self.list.find(from);
        if held.is_some_and(|record| record.incarnation < heartbeat.incarnation) {
            ack.sequence = 0;
        }
        if let Some(record) = held.filter(|record| record.incarnation > heartbeat.incarnation) {
            ack.belief = Some(record.for_message());
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
        ack.belief = self.belief_about(agent);
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

    fn on_gossip(&mut self, now: Millis, from: SocketAddrV4, version: u32, gossip: GossipBody) {
        self.absorb(now, from, gossip);
        if version < self.versions.held() {
            let class = self.notice_class(true);
            let message = PeerMessage::Gossip(self.changes(0, None));
            self.send(now, class, from, message);
        }
    }

    fn on_probe(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        let sequence = self.own.sequence;
        let introduced = probe.member.is_some();
        self.merge_all(now, from, probe.member);
        self.absorb(now, from, probe.gossip);
        let refuted = self.own.sequence != sequence;
        let belief = self.belief_about(from);
        let room = self.change_room(now) / 2;
        let answer = ProbeBody {
            number: probe.number,
            gossip: self.changes(room, belief),
            member: (refuted || introduced).then(|| self.own.clone()),
        };
        self.send(
            now,
            ByteClass::Liveness,
            from,
            PeerMessage::ProbeAck(answer),
        );
    }

    fn on_probe_ack(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        self.merge_all(now, from, probe.member);
        if let Some(target) = self.detector.answered(probe.number) {
            self.confirming.retain(|&address| address != target);
            self.watch.answered(now, target);
        }
        self.watch.answered(now, from);
        if let Some(relay) = self.detector.relayed(probe.number) {
            let answer = ProbeBody {
                number: relay.asked_number,
                gossip: self.changes(0, None),
                member: self.list.find(from).cloned(),
            };
            let message = PeerMessage::ProbeAck(answer);
            self.send(now, ByteClass::Liveness, relay.asker, message);
        }
        self.absorb(now, from, probe.gossip);
    }

    fn on_probe_request(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        number: u32,
        target: SocketAddrV4,
    ) {
        if let Some(number) = self.detector.relay(now, from, number) {
            self.send_probe(now, target, number, None);
        }
    }

    /// Takes changes over and compares the sender's digest.
    fn absorb(&mut self, now: Millis, from: SocketAddrV4, gossip: GossipBody) {
        self.merge_all(now, from, gossip.members);
        self.saw_keys(now, gossip.key_version, from);
        if gossip.digest == 0 {
            return;
        }
        if gossip.digest == self.list.digest() {
            self.mismatch_since = None;
            return;
        }
        self.mismatches += 1;
        let since = *self.mismatch_since.get_or_insert(now);
        let settled = now.since(self.timers.last_change) >= MISMATCH_QUIET
            && self.mismatches >= SETTLED_MISMATCHES;
        let busy = now.since(since) >= MISMATCH_BUSY;
        if (settled || busy) && now >= self.timers.sync && self.bulk.has_room(now) {
            self.start_sync(now, from, SYNC_INTERVAL);
        }
    }

    fn start_sync(&mut self, now: Millis, with: SocketAddrV4, interval: Millis) {
        let jitter = Millis(self.rng.random_range(0..=interval.0 / 2));
        self.timers.sync = now.plus(interval).plus(jitter);
        self.mismatch_since = None;
        self.mismatches = 0;
        self.bulk.charge(now, size_of_val(self.list.buckets()));
        self.actions.push(MemberAction::Sync { with });
    }

    fn synced(&mut self, now: Millis, peer: SocketAddrV4, records: Vec<MemberRecord>) {
        self.joined = true;
        let newer = self.newer_than(&records);
        self.merge_bulk(now, peer, records);
        if newer.is_empty() {
            return;
        }
        let bytes: usize = newer.iter().map(MemberRecord::wire_len).sum();
        self.bulk.charge(now, bytes);
        self.actions.push(MemberAction::Push {
            to: peer,
            records: newer,
        });
    }

    /// Returns the own records that are newer than those a peer sent for the same members.
    fn newer_than(&self, records: &[MemberRecord]) -> Vec<MemberRecord> {
        records
            .iter()
            .filter_map(|record| {
                let held = self.list.find(record.address)?;
                held.cmp_age(record).is_gt().then(|| held.for_message())
            })
            .collect()
    }

    /// Merges records of a bulk sync. A large batch isn't passed on one by one: whoever lacks it
    /// gets it by a sync of its own at a fraction of the bytes.
    fn merge_bulk(&mut self, now: Millis, peer: SocketAddrV4, records: Vec<MemberRecord>) {
        let waiting = (records.len() > MAX_PASSED_ON).then(|| self.queue.clone());
        self.merge_all(now, peer, records);
        if let Some(waiting) = waiting {
            self.queue = waiting;
            self.queue.push(self.own.address);
        }
    }

    fn merge_all(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        records: impl IntoIterator<Item = MemberRecord>,
    ) {
        for record in records {
            self.merge_one(now, from, record);
        }
    }

    fn merge_one(&mut self, now: Millis, from: SocketAddrV4, mut record: MemberRecord) {
        if record.address == self.own.address {
            self.refute(now, &record);
            return;
        }
        if let Some(held) = self.list.find(record.address) {
            record.complete_from(held);
        }
        if record.state.is_accusation() && self.doubts(now, from, &record) {
            self.challenge(record);
            return;
        }
        if let MergeVerdict::Stale(key) = self.take_over(now, record, false) {
            let settled = self.list.changed_at(key);
            if settled.is_some_and(|changed| now.since(changed) >= SETTLED_AGE) {
                if let Some(held) = self.list.get(key) {
                    self.queue.push(held.address);
                }
            }
        }
    }

    /// Raises the own sequence or incarnation above a record that contradicts the own one.
    fn refute(&mut self, now: Millis, record: &MemberRecord) {
        if record.cmp_age(&self.own).is_le() {
            return;
        }
        self.own.supersede(record);
        self.publish_own(now);
    }

    fn publish_own(&mut self, now: Millis) {
        self.take_over(now, self.own.clone(), false);
    }

    /// Returns whether this balancer knows better than `from` that a member answers.
    ///
    /// The member was heard lately, or the accuser is farther from it than this balancer. Without
    /// the second rule, the end of a split would make both sides take their own members for dead.
    fn doubts(&self, now: Millis, from: SocketAddrV4, accusation: &MemberRecord) -> bool {
        let Some(held) = self.list.find(accusation.address) else {
            return false;
        };
        let contradicts = held.incarnation == accusation.incarnation
            && held.sequence <= accusation.sequence
            && held.state != MemberState::Dead;
        if !contradicts || from == accusation.address {
            return false;
        }
        if self.watch.is_fresh(now, accusation.address) {
            return true;
        }
        let accuser = self.list.find(from);
        let theirs = accuser.map_or(0, |accuser| accuser.closeness(accusation));
        theirs < self.own.closeness(accusation)
    }

    fn challenge(&mut self, accusation: MemberRecord) {
        let close = accusation.role == MemberRole::Balancer
            || self.challenges.len() < FEW_CHALLENGES
            || self.watch.knows(accusation.address)
            || self.rng.random_ratio(1, CHALLENGE_ONE_IN);
        let queued = self
            .challenges
            .iter()
            .any(|waiting| waiting.address == accusation.address);
        if close && !queued && self.challenges.len() < MAX_CHALLENGES {
            self.challenges.push(accusation);
        }
    }

    fn adopt(&mut self, now: Millis, number: u32, takes_out: bool) {
        if number <= self.versions.held() {
            return;
        }
        self.versions.adopted(number);
        self.takes_out = takes_out;
        self.spread(now);
    }

    fn adopt_keys(&mut self, now: Millis, version: u32) {
        if version <= self.keys.held() {
            return;
        }
        self.keys.adopted(version);
        self.spread(now);
    }

    fn saw_keys(&mut self, now: Millis, version: u32, from: SocketAddrV4) {
        if let Some(from) = self.keys.saw(now, version, from) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }

    /// Tells some peers and the own agents of the version in force, and again for a while.
    fn spread(&mut self, now: Millis) {
        self.timers.spread_until = now.plus(VERSION_SPREAD);
        self.timers.agent_notice = now;
        let class = self.notice_class(true);
        let mut peers = self
            .peers
            .pick_some(&mut self.rng, VERSION_FANOUT - 1, None);
        let remote = self.peers.pick_remote(&mut self.rng);
        peers.extend(remote.filter(|remote| !peers.contains(remote)));
        for peer in peers {
            let message = PeerMessage::Gossip(self.changes(0, None));
            self.send(now, class, peer, message);
        }
        self.notify_agents_due(now);
    }

    /// Returns a gossip body with `first` and as many waiting changes as fit into `room` bytes.
    fn changes(&mut self, room: usize, first: Option<MemberRecord>) -> GossipBody {
        let list = &self.list;
        let used = first.as_ref().map_or(0, MemberRecord::wire_len);
        let balancers = list.balancers().len();
        let room = room.saturating_sub(used + MESSAGE_FRAME);
        let len_of = |address| {
            let record = list.find(address)?;
            Some(record.for_message().wire_len())
        };
        let taken = self.queue.take(room, balancers, len_of);
        let mut members: Vec<MemberRecord> = first.into_iter().collect();
        let more = taken.into_iter().filter_map(|address| list.find(address));
        members.extend(more.map(MemberRecord::for_message));
        GossipBody {
            members,
            digest: list.digest(),
            key_version: self.keys.held(),
        }
    }

    fn send(&mut self, now: Millis, class: ByteClass, to: SocketAddrV4, message: PeerMessage) {
        let bytes = message.wire_len() + DATAGRAM_OVERHEAD;
        if self.budget.take(now, class, bytes) {
            self.actions.push(MemberAction::Send { to, message });
        }
    }
}
