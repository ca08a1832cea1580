//! The agent's side of membership.

use std::net::SocketAddrV4;

use rand::rngs::SmallRng;

use super::{
    heartbeat_plan::plan_digest,
    GossipBody,
    Heartbeat,
    HeartbeatAck,
    MemberAction,
    MemberEvent,
    MemberRecord,
    MemberState,
    PeerMessage,
    ProbeBody,
    VersionPull,
    HEARTBEAT_BALANCERS, //
};
use crate::Millis;

/// Interval of heartbeats to one balancer. The two balancers take turns, so that one heartbeat is
/// sent each second.
const HEARTBEAT_INTERVAL: Millis = Millis(2_000);

/// Interval of heartbeats to a balancer that hasn't acknowledged the last one.
const RETRY_INTERVAL: Millis = Millis(500);

/// Time without an ack after which another balancer is used.
const SWITCH_PATIENCE: Millis = Millis(3_000);

/// Balancers remembered beyond those in use.
const MAX_SPARES: usize = 4;

#[derive(Clone, Copy, Debug)]
struct AckedBalancer {
    address: SocketAddrV4,
    /// Time of the last ack, or of the first heartbeat.
    acked: Millis,
    next: Millis,
    waiting: bool,
    known_sequence: u32,
}

/// Sends an agent's heartbeats and announces its state: `(now, event)` in, actions out.
#[derive(Clone, Debug)]
pub struct AgentAnnouncer {
    own: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    bootstrap_turn: usize,
    used: Vec<AckedBalancer>,
    spares: Vec<SocketAddrV4>,
    versions: VersionPull,
    keys: VersionPull,
    actions: Vec<MemberAction>,
}

impl AgentAnnouncer {
    /// Creates the announcer of the agent `own`, which finds its first balancers at `bootstrap`.
    pub fn new(
        own: MemberRecord,
        rng: SmallRng,
        bootstrap: impl IntoIterator<Item = SocketAddrV4>,
    ) -> AgentAnnouncer {
        AgentAnnouncer {
            own,
            rng,
            bootstrap: bootstrap.into_iter().collect(),
            bootstrap_turn: 0,
            used: Vec::new(),
            spares: Vec::new(),
            versions: VersionPull::default(),
            keys: VersionPull::default(),
            actions: Vec::new(),
        }
    }

    /// Adds addresses at which balancers are sought while too few are known.
    pub fn add_bootstrap(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        for address in addresses {
            if !self.bootstrap.contains(&address) {
                self.bootstrap.push(address);
            }
        }
    }

    /// Returns the agent's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the balancers that the agent sends heartbeats to.
    pub fn balancers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.used.iter().map(|balancer| balancer.address)
    }

    /// Returns whether a balancer has acknowledged the current record.
    pub fn is_acknowledged(&self) -> bool {
        self.used
            .iter()
            .any(|balancer| balancer.known_sequence == self.own.sequence)
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<AgentAnnouncer>()
            + self.used.capacity() * size_of::<AckedBalancer>()
            + (self.spares.capacity() + self.bootstrap.capacity()) * size_of::<SocketAddrV4>()
    }

    /// Announces a change of the agent's state, slots or warmth to its balancers at once.
    pub fn announce(
        &mut self,
        now: Millis,
        state: MemberState,
        slots: u32,
        warmup_level: u8,
    ) -> Vec<MemberAction> {
        let own = &mut self.own;
        if (own.state, own.slots, own.warmup_level) != (state, slots, warmup_level) {
            own.state = state;
            own.slots = slots;
            own.warmup_level = warmup_level;
            own.sequence += 1;
            self.beat_all(now);
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
            MemberEvent::VersionAdopted { number, .. } => self.versions.adopted(number),
            MemberEvent::KeyRingAdopted { version } => self.keys.adopted(version),
            MemberEvent::VersionFetchFailed => self.versions.failed(now, &mut self.rng),
            MemberEvent::KeyFetchFailed => self.keys.failed(now, &mut self.rng),
            MemberEvent::SyncCompleted { .. }
            | MemberEvent::RecordsPushed { .. }
            | MemberEvent::SyncFailed => {}
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        if let Some(from) = self.versions.due(now) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        if let Some(from) = self.keys.due(now) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
        self.replace_silent(now);
        for at in 0..self.used.len() {
            if now >= self.used[at].next {
                self.beat(now, at);
            }
        }
    }

    /// Replaces balancers that haven't acknowledged for long and fills empty places.
    fn replace_silent(&mut self, now: Millis) {
        for at in (0..self.used.len()).rev() {
            let balancer = self.used[at];
            if balancer.waiting && now.since(balancer.acked) >= SWITCH_PATIENCE {
                self.used.remove(at);
            }
        }
        while self.used.len() < HEARTBEAT_BALANCERS {
            let Some(address) = self.next_candidate() else {
                return;
            };
            self.add(now, address);
        }
    }

    /// Returns a spare balancer, or else a bootstrap address, that isn't in use.
    fn next_candidate(&mut self) -> Option<SocketAddrV4> {
        while !self.spares.is_empty() {
            let spare = self.spares.remove(0);
            if !self.uses(spare) {
                return Some(spare);
            }
        }
        for _ in 0..self.bootstrap.len() {
            let address = self.bootstrap[self.bootstrap_turn % self.bootstrap.len()];
            self.bootstrap_turn += 1;
            if !self.uses(address) {
                return Some(address);
            }
        }
        None
    }

    fn uses(&self, address: SocketAddrV4) -> bool {
        self.used.iter().any(|balancer| balancer.address == address)
    }

    fn add(&mut self, now: Millis, address: SocketAddrV4) {
        self.used.push(AckedBalancer {
            address,
            acked: now,
            next: now,
            waiting: false,
            known_sequence: 0,
        });
    }

    fn beat_all(&mut self, now: Millis) {
        for at in 0..self.used.len() {
            self.beat(now, at);
        }
    }

    fn beat(&mut self, now: Millis, at: usize) {
        let used: Vec<SocketAddrV4> = self.balancers().collect();
        let balancer = &mut self.used[at];
        let full = balancer.known_sequence != self.own.sequence;
        let heartbeat = Heartbeat {
            member: full.then(|| self.own.clone()),
            incarnation: self.own.incarnation,
            sequence: self.own.sequence,
            balancers_digest: plan_digest(&used),
            key_version: self.keys.held(),
        };
        balancer.waiting = true;
        balancer.next = now.plus(RETRY_INTERVAL);
        self.actions.push(MemberAction::Send {
            to: balancer.address,
            message: PeerMessage::Heartbeat(heartbeat),
        });
    }

    fn receive(&mut self, now: Millis, from: SocketAddrV4, version: u32, message: PeerMessage) {
        if let Some(from) = self.versions.saw(now, version, from) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        match message {
            PeerMessage::HeartbeatAck(ack) => self.on_ack(now, from, ack),
            PeerMessage::Probe(probe) => self.on_probe(now, from, probe),
            PeerMessage::Gossip(gossip) => self.saw_keys(now, gossip.key_version, from),
            PeerMessage::Heartbeat(_)
            | PeerMessage::ProbeAck(_)
            | PeerMessage::ProbeRequest { .. } => {}
        }
    }

    fn on_ack(&mut self, now: Millis, from: SocketAddrV4, ack: HeartbeatAck) {
        self.saw_keys(now, ack.key_version, from);
        self.note_ack(now, from, ack.sequence);
        if let Some(disputed_record) = ack.disputed_record {
            self.refute(now, &disputed_record);
        }
        if !ack.balancers.is_empty() {
            self.follow_choice(now, &ack.balancers);
        }
    }

    /// Records an ack. One from an unknown address answers a bootstrap address that leads to any
    /// balancer, and takes its place.
    fn note_ack(&mut self, now: Millis, from: SocketAddrV4, sequence: u32) {
        let known = self.used.iter().position(|used| used.address == from);
        let Some(at) = known.or_else(|| self.bootstrap_place()) else {
            return;
        };
        let other = self.used.iter().enumerate().find(|&(place, _)| place != at);
        let other_next = other.map(|(_, balancer)| balancer.next);
        let balancer = &mut self.used[at];
        balancer.address = from;
        balancer.acked = now;
        balancer.known_sequence = sequence;
        balancer.waiting = false;
        balancer.next = now.plus(HEARTBEAT_INTERVAL);
        if let Some(other_next) = other_next {
            balancer.next = spread_apart(now, other_next);
        }
        if sequence != self.own.sequence {
            balancer.next = now.plus(RETRY_INTERVAL);
        }
    }

    fn bootstrap_place(&self) -> Option<usize> {
        let waits = |used: &AckedBalancer| used.waiting && self.bootstrap.contains(&used.address);
        self.used.iter().position(waits)
    }

    /// Uses the balancers that a balancer chose for this agent.
    fn follow_choice(&mut self, now: Millis, choice: &[SocketAddrV4]) {
        let (chosen, spares) = choice.split_at(choice.len().min(HEARTBEAT_BALANCERS));
        self.used
            .retain(|balancer| chosen.contains(&balancer.address));
        for &address in chosen {
            if !self.uses(address) {
                self.add(now, address);
                self.beat(now, self.used.len() - 1);
            }
        }
        self.spares = spares.iter().copied().take(MAX_SPARES).collect();
    }

    /// Answers a probe, with the own record if the prober holds an accusation. The record is sent
    /// also when an earlier refutation is newer, because the prober hasn't heard of that.
    fn on_probe(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        let address = self.own.address;
        let mut accused = false;
        let beliefs = probe.gossip.members.iter();
        for disputed_record in beliefs.filter(|disputed_record| disputed_record.address == address)
        {
            accused = true;
            self.refute(now, disputed_record);
        }
        self.saw_keys(now, probe.gossip.key_version, from);
        let answer = ProbeBody {
            number: probe.number,
            gossip: GossipBody {
                key_version: self.keys.held(),
                ..GossipBody::default()
            },
            member: accused.then(|| self.own.clone()),
        };
        self.actions.push(MemberAction::Send {
            to: from,
            message: PeerMessage::ProbeAck(answer),
        });
    }

    /// Raises the own sequence or incarnation above a belief that contradicts the own record.
    fn refute(&mut self, now: Millis, disputed_record: &MemberRecord) {
        if disputed_record.cmp_age(&self.own).is_le() {
            return;
        }
        self.own.supersede(disputed_record);
        self.beat_all(now);
    }

    fn saw_keys(&mut self, now: Millis, version: u32, from: SocketAddrV4) {
        if let Some(from) = self.keys.saw(now, version, from) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }
}

/// Returns the time of the next heartbeat, half an interval after that of the other balancer.
fn spread_apart(now: Millis, other_next: Millis) -> Millis {
    let half = Millis(HEARTBEAT_INTERVAL.0 / 2);
    let after = other_next.plus(half);
    let latest = now.plus(HEARTBEAT_INTERVAL);
    let earliest = now.plus(half);
    after.clamp(earliest, latest)
}
