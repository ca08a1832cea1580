//! Where a balancer sends the packets of callers.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::{
    process::mix,
    Millis, //
};

use super::{
    agent_roster::AgentSlot,
    name_hash,
    AgentRoster,
    OwnerHints, //
};
use crate::{
    request::{
        FlowPacket,
        ForwardHead,
        PacketKind, //
    },
    version::SiteRules, //
};

/// How many candidates a packet has.
#[derive(Clone, Copy, Debug)]
struct ListSize {
    /// Most candidates in the caller's data centre.
    near: usize,
    /// Most candidates in each other data centre.
    far: usize,
    /// Most candidates in all other data centres.
    all_far: usize,
}

/// Each candidate in another data centre costs the way there while all are busy.
const OPENING_SIZE: ListSize = ListSize {
    near: 4,
    far: 1,
    all_far: 2,
};

/// Later packets have more candidates: the owner may have been among the first only because others
/// took no new flows, and agents that joined since come before it.
const LATER_SIZE: ListSize = ListSize {
    near: 8,
    far: 4,
    all_far: 12,
};

/// Most candidates of one packet.
const MAX_CANDIDATES: usize = 16;

/// Most servers of a service that are left out because they fail, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// Flows that go to failing servers as well, in percent.
const TRIAL_PERCENT: u64 = 4;

/// Keeps the choice of these flows independent of the order of the agents.
const TRIAL_SALT: u64 = 0x7e57_f10e;

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropCause {
    /// No configuration or no list of agents has been read yet.
    NotReady,
    /// No route has the address.
    NoRoute,
    /// No agent of the service is known.
    NoAgent,
    /// Callers don't send packets of this kind.
    Forged,
}

impl DropCause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            DropCause::NotReady => "not_ready",
            DropCause::NoRoute => "no_route",
            DropCause::NoAgent => "no_agent",
            DropCause::Forged => "forged",
        }
    }
}

/// What to do with a packet of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAction {
    /// Send it to an agent.
    Forward {
        /// The first candidate.
        to: SocketAddrV4,
        /// What accompanies the packet.
        head: ForwardHead,
    },
    /// Reset the flow, which has not opened.
    Refuse(DropCause),
    /// Send nothing.
    Drop(DropCause),
}

/// Routing state of a balancer.
#[derive(Debug)]
pub struct FlowRouter {
    /// Configuration in force.
    pub rules: Option<Arc<SiteRules>>,
    /// Known agents.
    pub roster: AgentRoster,
    /// Owners that agents told of.
    pub hints: OwnerHints,
    address: SocketAddrV4,
    centre: u32,
    ranks: Vec<Candidate>,
}

/// What comes before the hash in the order of candidates; false comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CandidatePlace {
    /// Whether the agent doesn't answer.
    suspect: bool,
    /// Whether its data centre is taken out.
    closed: bool,
    /// Whether its data centre isn't the caller's.
    far: bool,
    /// Place of its service in the route.
    service: u8,
    /// Whether it reported no free slot.
    busy: bool,
}

#[derive(Clone, Copy, Debug)]
struct Candidate {
    place: CandidatePlace,
    score: u64,
    centre: u32,
    address: SocketAddrV4,
    failing: bool,
}

impl FlowRouter {
    /// Creates the state of the balancer that agents answer at `address`.
    pub fn new(address: SocketAddrV4, centre: &str) -> FlowRouter {
        FlowRouter {
            rules: None,
            roster: AgentRoster::default(),
            hints: OwnerHints::default(),
            address,
            centre: name_hash(centre),
            ranks: Vec::new(),
        }
    }

    /// Decides what to do with a packet of a caller.
    pub fn route(&mut self, packet: &FlowPacket, now: Millis) -> RouteAction {
        let forged = packet.kind == PacketKind::Accept || packet.returned;
        if forged {
            return RouteAction::Drop(DropCause::Forged);
        }
        let Some(rules) = self.rules.clone() else {
            return RouteAction::Drop(DropCause::NotReady);
        };
        if !self.roster.is_loaded() {
            return RouteAction::Drop(DropCause::NotReady);
        }
        let Some(route) = rules.route(packet.key.service) else {
            return refuse_first(packet, DropCause::NoRoute);
        };
        let hash = packet.key.hash();
        let mut services = route.services(hash).map(|name| name_hash(name));
        let Some(service) = services.next() else {
            return refuse_first(packet, DropCause::NoRoute);
        };
        let (list, near) = if packet.is_open() {
            let later = self.list_later(service, hash, std::iter::empty(), now).0;
            let (list, near) = self.list_opening(service, hash, now);
            if list.first() != later.first() {
                self.note_owner(packet, &list, now);
            }
            (list, near)
        } else {
            self.list_later(service, hash, services, now)
        };
        self.forward(packet, list, near, service, rules.revision, now)
    }

    /// Returns the candidates of an opening packet, and how many are in the caller's data centre.
    fn list_opening(&mut self, service: u32, hash: u64, now: Millis) -> (Vec<SocketAddrV4>, u8) {
        self.ranks.clear();
        self.rank(service, 0, hash, true, now);
        self.leave_out_suspects();
        self.leave_out_failing(hash);
        self.take_candidates(OPENING_SIZE)
    }

    /// Returns the candidates of a later packet. Its flow may have opened when the route led to
    /// one of the `others`.
    fn list_later(
        &mut self,
        service: u32,
        hash: u64,
        others: impl Iterator<Item = u32>,
        now: Millis,
    ) -> (Vec<SocketAddrV4>, u8) {
        self.ranks.clear();
        self.rank(service, 0, hash, false, now);
        for (index, other) in others.enumerate() {
            self.rank(other, index as u8 + 1, hash, false, now);
        }
        self.take_candidates(LATER_SIZE)
    }

    /// Remembers the first candidate of an opening packet, which later packets wouldn't try first.
    /// An owner further down the list tells of itself.
    fn note_owner(&mut self, packet: &FlowPacket, list: &[SocketAddrV4], now: Millis) {
        if packet.kind == (PacketKind::Open { copy: 0 }) {
            if let Some(owner) = list.first() {
                self.hints.insert(packet.key, *owner, now);
            }
        }
    }

    fn rank(&mut self, service: u32, order: u8, hash: u64, opens: bool, now: Millis) {
        let centre = self.centre;
        let rules = &self.rules;
        let closed = |slot: &AgentSlot| {
            rules
                .as_ref()
                .is_some_and(|rules| rules.is_closed(&slot.record.centre))
        };
        let usable = |slot: &&AgentSlot| !opens || (slot.report.accepts && !closed(slot));
        let candidates = self.roster.of_service(service).filter(usable);
        self.ranks.extend(candidates.map(|slot| Candidate {
            place: CandidatePlace {
                suspect: slot.is_suspect(now),
                closed: closed(slot),
                far: slot.centre != centre,
                service: order,
                busy: opens && slot.is_busy(now),
            },
            score: mix(slot.hash ^ hash),
            centre: slot.centre,
            address: slot.record.address,
            failing: slot.is_failing(),
        }));
    }

    /// Leaves out the agents that don't answer, unless no other agent is left. An opening packet
    /// that is passed to one of them is lost, with all its later candidates.
    fn leave_out_suspects(&mut self) {
        let is_suspect = |candidate: &Candidate| candidate.place.suspect;
        if !self.ranks.iter().all(is_suspect) {
            self.ranks.retain(|candidate| !is_suspect(candidate));
        }
    }

    /// Leaves out the servers that fail, for most flows; the others show when they have recovered.
    /// Never more than a part of the service is left out: if most servers fail, the cause is
    /// elsewhere, and the rest wouldn't bear the load.
    fn leave_out_failing(&mut self, hash: u64) {
        let failing = self.ranks.iter().filter(|candidate| candidate.failing);
        let percent = failing.count() * 100 / self.ranks.len().max(1);
        let is_trial = mix(hash ^ TRIAL_SALT) % 100 < TRIAL_PERCENT;
        if percent <= MAX_EJECTED_PERCENT && !is_trial {
            self.ranks.retain(|candidate| !candidate.failing);
        }
    }

    /// Returns the candidates in order, and how many of them are in the caller's data centre.
    fn take_candidates(&mut self, size: ListSize) -> (Vec<SocketAddrV4>, u8) {
        self.ranks.sort_unstable_by(|left, right| {
            let places = left.place.cmp(&right.place);
            places.then(right.score.cmp(&left.score))
        });
        let mut list: Vec<SocketAddrV4> = Vec::with_capacity(MAX_CANDIDATES);
        let mut near = 0;
        let mut far = 0;
        for (index, candidate) in self.ranks.iter().enumerate() {
            let before = &self.ranks[..index];
            let same = before
                .iter()
                .filter(|other| other.centre == candidate.centre);
            let is_near = candidate.centre == self.centre;
            let most = if is_near { size.near } else { size.far };
            let too_far = !is_near && far == size.all_far;
            if list.len() == MAX_CANDIDATES || same.count() >= most || too_far {
                continue;
            }
            list.push(candidate.address);
            if !is_near {
                far += 1;
            } else if !candidate.place.suspect {
                near += 1;
            }
        }
        (list, near)
    }

    fn forward(
        &mut self,
        packet: &FlowPacket,
        mut list: Vec<SocketAddrV4>,
        near: u8,
        service: u32,
        revision: u64,
        now: Millis,
    ) -> RouteAction {
        if list.is_empty() {
            return refuse_first(packet, DropCause::NoAgent);
        }
        for candidate in &list {
            self.roster.note_listed(*candidate, now);
        }
        let mut near = near;
        if let PacketKind::Open { copy } = packet.kind {
            // Copies start at different candidates, in case one of them is dead.
            if copy > 0 {
                let shift = usize::from(copy) % list.len();
                list.rotate_left(shift);
                near = near.saturating_sub(copy);
            }
        } else if let Some(owner) = self.hints.owner(packet.key, now) {
            list.retain(|candidate| *candidate != owner);
            list.insert(0, owner);
        }
        let to = list.remove(0);
        self.roster.note_sent(to, now);
        let head = ForwardHead {
            balancer: self.address,
            centre: self.centre,
            service,
            revision,
            hops: 0,
            rest: list,
            near: near.saturating_sub(1),
            best: None,
            assigned: false,
            delivered: false,
        };
        RouteAction::Forward { to, head }
    }
}

/// Refuses the first copy of an opening packet. A later copy may belong to a flow that has opened.
fn refuse_first(packet: &FlowPacket, cause: DropCause) -> RouteAction {
    if packet.kind == (PacketKind::Open { copy: 0 }) {
        RouteAction::Refuse(cause)
    } else {
        RouteAction::Drop(cause)
    }
}
