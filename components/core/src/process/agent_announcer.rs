//! The agent's part of the membership protocol.

use std::net::SocketAddrV4;

use rand::rngs::SmallRng;

use super::{
    heartbeat_assignment::balancers_digest,
    FetchSchedule,
    GossipBody,
    Heartbeat,
    HeartbeatAck,
    MemberAction,
    MemberEvent,
    MemberRecord,
    MemberState,
    PeerMessage,
    ProbeBody,
    HEARTBEAT_BALANCERS, //
};
use crate::Millis;

/// Interval of heartbeats to one balancer. Heartbeats to the two balancers alternate, so that one
/// is sent each second.
const HEARTBEAT_INTERVAL: Millis = Millis(2_000);

/// Delay until a heartbeat is repeated that hasn't been acknowledged, or whose ack shows an older
/// record.
const HEARTBEAT_RETRY_INTERVAL: Millis = Millis(500);

/// Time without an ack after which a balancer is replaced by another.
const ACK_TIMEOUT: Millis = Millis(3_000);

/// Largest number of balancers kept as replacements for those in use.
const MAX_SPARE_BALANCERS: usize = 4;

/// A balancer that the agent sends heartbeats to.
#[derive(Clone, Copy, Debug)]
struct ActiveBalancer {
    address: SocketAddrV4,
    /// Time of the last ack; before the first one, the time at which the balancer was added.
    last_ack: Millis,
    next_heartbeat: Millis,
    awaiting_ack: bool,
    /// Sequence in the last ack; 0 if the balancer holds no record of the agent.
    acked_sequence: u32,
}

/// Decides when an agent sends heartbeats and announces its state to balancers.
///
/// Takes the current time and an event, and returns the actions that the caller is to run.
#[derive(Clone, Debug)]
pub struct AgentAnnouncer {
    own_record: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    next_bootstrap: usize,
    active: Vec<ActiveBalancer>,
    spares: Vec<SocketAddrV4>,
    versions: FetchSchedule,
    keys: FetchSchedule,
    actions: Vec<MemberAction>,
}

impl AgentAnnouncer {
    /// Creates the announcer of the agent with `own_record`. It contacts the addresses `bootstrap`
    /// until balancers have assigned it others.
    pub fn new(
        own_record: MemberRecord,
        rng: SmallRng,
        bootstrap: impl IntoIterator<Item = SocketAddrV4>,
    ) -> AgentAnnouncer {
        AgentAnnouncer {
            own_record,
            rng,
            bootstrap: bootstrap.into_iter().collect(),
            next_bootstrap: 0,
            active: Vec::new(),
            spares: Vec::new(),
            versions: FetchSchedule::default(),
            keys: FetchSchedule::default(),
            actions: Vec::new(),
        }
    }

    /// Adds bootstrap addresses, which are contacted while too few balancers are known.
    pub fn add_bootstrap(&mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) {
        for address in addresses {
            if !self.bootstrap.contains(&address) {
                self.bootstrap.push(address);
            }
        }
    }

    /// Returns the agent's own record, as it is announced.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns the balancers that the agent sends heartbeats to.
    pub fn balancers(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.active.iter().map(|balancer| balancer.address)
    }

    /// Returns whether at least one balancer has acknowledged the current record.
    pub fn is_acknowledged(&self) -> bool {
        self.active
            .iter()
            .any(|balancer| balancer.acked_sequence == self.own_record.sequence)
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        size_of::<AgentAnnouncer>()
            + self.active.capacity() * size_of::<ActiveBalancer>()
            + (self.spares.capacity() + self.bootstrap.capacity()) * size_of::<SocketAddrV4>()
    }

    /// Sends a heartbeat to all active balancers at once if the agent's state, slots or warm-up
    /// level (in 1/255) have changed.
    pub fn announce(
        &mut self,
        now: Millis,
        state: MemberState,
        slots: u32,
        warmup_level: u8,
    ) -> Vec<MemberAction> {
        let own_record = &mut self.own_record;
        if (own_record.state, own_record.slots, own_record.warmup_level)
            != (state, slots, warmup_level)
        {
            own_record.state = state;
            own_record.slots = slots;
            own_record.warmup_level = warmup_level;
            own_record.sequence += 1;
            self.send_heartbeats(now);
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
            MemberEvent::VersionAdopted { number, .. } => self.versions.set_current(number),
            MemberEvent::KeyRingAdopted { version } => self.keys.set_current(version),
            MemberEvent::VersionFetchFailed => self.versions.fetch_failed(now, &mut self.rng),
            MemberEvent::KeyFetchFailed => self.keys.fetch_failed(now, &mut self.rng),
            MemberEvent::AgentSeen { .. }
            | MemberEvent::SyncCompleted { .. }
            | MemberEvent::RecordsPushed { .. }
            | MemberEvent::SyncFailed => {}
        }
        std::mem::take(&mut self.actions)
    }

    fn tick(&mut self, now: Millis) {
        if let Some(from) = self.versions.next_source(now) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        if let Some(from) = self.keys.next_source(now) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
        self.replace_unresponsive(now);
        for index in 0..self.active.len() {
            if now >= self.active[index].next_heartbeat {
                self.send_heartbeat(now, index);
            }
        }
    }

    /// Replaces balancers that haven't acknowledged within the timeout, and adds balancers while
    /// fewer than [`HEARTBEAT_BALANCERS`] are active.
    fn replace_unresponsive(&mut self, now: Millis) {
        for index in (0..self.active.len()).rev() {
            let balancer = self.active[index];
            if balancer.awaiting_ack && now.since(balancer.last_ack) >= ACK_TIMEOUT {
                self.active.remove(index);
            }
        }
        while self.active.len() < HEARTBEAT_BALANCERS {
            let Some(address) = self.next_balancer() else {
                return;
            };
            self.add(now, address);
        }
    }

    /// Returns a spare balancer or, without one, a bootstrap address that isn't active.
    fn next_balancer(&mut self) -> Option<SocketAddrV4> {
        while !self.spares.is_empty() {
            let spare = self.spares.remove(0);
            if !self.is_active(spare) {
                return Some(spare);
            }
        }
        for _ in 0..self.bootstrap.len() {
            let address = self.bootstrap[self.next_bootstrap % self.bootstrap.len()];
            self.next_bootstrap += 1;
            if !self.is_active(address) {
                return Some(address);
            }
        }
        None
    }

    fn is_active(&self, address: SocketAddrV4) -> bool {
        self.active
            .iter()
            .any(|balancer| balancer.address == address)
    }

    fn add(&mut self, now: Millis, address: SocketAddrV4) {
        self.active.push(ActiveBalancer {
            address,
            last_ack: now,
            next_heartbeat: now,
            awaiting_ack: false,
            acked_sequence: 0,
        });
    }

    fn send_heartbeats(&mut self, now: Millis) {
        for index in 0..self.active.len() {
            self.send_heartbeat(now, index);
        }
    }

    fn send_heartbeat(&mut self, now: Millis, index: usize) {
        let active: Vec<SocketAddrV4> = self.balancers().collect();
        let balancer = &mut self.active[index];
        let sends_record = balancer.acked_sequence != self.own_record.sequence;
        let heartbeat = Heartbeat {
            member: sends_record.then(|| self.own_record.clone()),
            incarnation: self.own_record.incarnation,
            sequence: self.own_record.sequence,
            balancers_digest: balancers_digest(&active),
            key_version: self.keys.current(),
        };
        balancer.awaiting_ack = true;
        balancer.next_heartbeat = now.plus(HEARTBEAT_RETRY_INTERVAL);
        self.actions.push(MemberAction::Send {
            to: balancer.address,
            message: PeerMessage::Heartbeat(heartbeat),
        });
    }

    fn receive(&mut self, now: Millis, from: SocketAddrV4, version: u32, message: PeerMessage) {
        if let Some(from) = self.versions.observe(now, version, from) {
            self.actions.push(MemberAction::FetchVersion { from });
        }
        match message {
            PeerMessage::HeartbeatAck(ack) => self.on_ack(now, from, ack),
            PeerMessage::Probe(probe) => self.on_probe(now, from, probe),
            PeerMessage::Gossip(gossip) => self.observe_key_version(now, gossip.key_version, from),
            PeerMessage::Heartbeat(_)
            | PeerMessage::ProbeAck(_)
            | PeerMessage::ProbeRequest { .. } => {}
        }
    }

    fn on_ack(&mut self, now: Millis, from: SocketAddrV4, ack: HeartbeatAck) {
        self.observe_key_version(now, ack.key_version, from);
        self.record_ack(now, from, ack.sequence);
        if let Some(disputed_record) = ack.disputed_record {
            self.refute(now, &disputed_record);
        }
        if !ack.balancers.is_empty() {
            self.apply_choice(now, &ack.balancers);
        }
    }

    /// Records an ack.
    ///
    /// A bootstrap address may lead to any balancer. An ack from an unknown address is therefore
    /// taken for the response to a heartbeat sent to a bootstrap address, which it replaces.
    fn record_ack(&mut self, now: Millis, from: SocketAddrV4, sequence: u32) {
        let known = self
            .active
            .iter()
            .position(|balancer| balancer.address == from);
        let Some(index) = known.or_else(|| self.awaited_bootstrap()) else {
            return;
        };
        let other = self
            .active
            .iter()
            .enumerate()
            .find(|&(other_index, _)| other_index != index);
        let other_next = other.map(|(_, balancer)| balancer.next_heartbeat);
        let balancer = &mut self.active[index];
        balancer.address = from;
        balancer.last_ack = now;
        balancer.acked_sequence = sequence;
        balancer.awaiting_ack = false;
        balancer.next_heartbeat = now.plus(HEARTBEAT_INTERVAL);
        if let Some(other_next) = other_next {
            balancer.next_heartbeat = stagger(now, other_next);
        }
        if sequence != self.own_record.sequence {
            balancer.next_heartbeat = now.plus(HEARTBEAT_RETRY_INTERVAL);
        }
    }

    /// Returns the index of a balancer at a bootstrap address whose ack is awaited.
    fn awaited_bootstrap(&self) -> Option<usize> {
        let waits = |balancer: &ActiveBalancer| {
            balancer.awaiting_ack && self.bootstrap.contains(&balancer.address)
        };
        self.active.iter().position(waits)
    }

    /// Switches to the balancers that a balancer has assigned to this agent.
    fn apply_choice(&mut self, now: Millis, choice: &[SocketAddrV4]) {
        let (chosen, spares) = choice.split_at(choice.len().min(HEARTBEAT_BALANCERS));
        self.active
            .retain(|balancer| chosen.contains(&balancer.address));
        for &address in chosen {
            if !self.is_active(address) {
                self.add(now, address);
                self.send_heartbeat(now, self.active.len() - 1);
            }
        }
        self.spares = spares.iter().copied().take(MAX_SPARE_BALANCERS).collect();
    }

    /// Acknowledges a probe, with the own record if the probe carries a failure report about this
    /// agent, and if its sender introduces itself. The record is sent even if it refutes the report already, because the sender of the
    /// probe hasn't received that refutation.
    fn on_probe(&mut self, now: Millis, from: SocketAddrV4, probe: ProbeBody) {
        let address = self.own_record.address;
        let mut is_reported = false;
        let is_introduction = probe.member.is_some();
        let records = probe.gossip.members.iter();
        for record in records.filter(|record| record.address == address) {
            is_reported = true;
            self.refute(now, record);
        }
        self.observe_key_version(now, probe.gossip.key_version, from);
        let ack = ProbeBody {
            number: probe.number,
            gossip: GossipBody {
                key_version: self.keys.current(),
                ..GossipBody::default()
            },
            member: (is_reported || is_introduction).then(|| self.own_record.clone()),
            balancers: if is_introduction {
                self.balancers().collect()
            } else {
                Vec::new()
            },
        };
        self.actions.push(MemberAction::Send {
            to: from,
            message: PeerMessage::ProbeAck(ack),
        });
    }

    /// Raises the own sequence or incarnation above those of a newer record of this agent that it
    /// hasn't announced itself, and sends heartbeats.
    fn refute(&mut self, now: Millis, disputed_record: &MemberRecord) {
        if disputed_record.cmp_age(&self.own_record).is_le() {
            return;
        }
        self.own_record.supersede(disputed_record);
        self.send_heartbeats(now);
    }

    fn observe_key_version(&mut self, now: Millis, version: u32, from: SocketAddrV4) {
        if let Some(from) = self.keys.observe(now, version, from) {
            self.actions.push(MemberAction::FetchKeys { from });
        }
    }
}

/// Returns the time of the next heartbeat to a balancer: half an interval after the next one to
/// the other balancer, but at least half an interval and at most one interval from now.
fn stagger(now: Millis, other_next: Millis) -> Millis {
    let half = Millis(HEARTBEAT_INTERVAL.0 / 2);
    let after = other_next.plus(half);
    let latest = now.plus(HEARTBEAT_INTERVAL);
    let earliest = now.plus(half);
    after.clamp(earliest, latest)
}
