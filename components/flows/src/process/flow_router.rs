//! Where a balancer sends the packets of callers.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};

use super::{
    agent_roster::AgentSlot,
    candidate_ranks::{
        Candidate,
        CandidateList,
        CandidatePlace,
        CandidateRanks,
        ListSize, //
    },
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
    version::SiteConfig, //
};

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

/// The same for flows that go to another data centre than the caller's. Those that opened before
/// the caller's was taken out are still there.
const LATER_AWAY_SIZE: ListSize = ListSize {
    near: 4,
    far: 4,
    all_far: 8,
};

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
    pub rules: Option<Arc<SiteConfig>>,
    /// Known agents.
    pub roster: AgentRoster,
    /// Owners that agents told of.
    pub hints: OwnerHints,
    address: SocketAddrV4,
    centre: u32,
    ranks: CandidateRanks,
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
            ranks: CandidateRanks::default(),
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
        let list = if packet.is_open() {
            let later = self.list_later(service, hash, std::iter::empty(), now);
            let list = self.list_opening(service, hash, now);
            if list.agents.first() != later.agents.first() {
                self.note_owner(packet, &list.agents, now);
            }
            list
        } else {
            self.list_later(service, hash, services, now)
        };
        self.forward(packet, list, service, rules.revision, now)
    }

    /// Returns the candidates of an opening packet.
    fn list_opening(&mut self, service: u32, hash: u64, now: Millis) -> CandidateList {
        self.ranks.clear();
        self.rank(service, 0, hash, true, now);
        self.ranks.leave_out_suspects();
        self.ranks.leave_out_failing(hash);
        let home = self.ranks.set_home(self.centre, hash);
        self.ranks.take(self.centre, home, OPENING_SIZE)
    }

    /// Returns the candidates of a later packet. Its flow may have opened when the route led to
    /// one of the `others`.
    fn list_later(
        &mut self,
        service: u32,
        hash: u64,
        others: impl Iterator<Item = u32>,
        now: Millis,
    ) -> CandidateList {
        self.ranks.clear();
        self.rank(service, 0, hash, false, now);
        for (index, other) in others.enumerate() {
            self.rank(other, index as u8 + 1, hash, false, now);
        }
        let home = self.ranks.set_home(self.centre, hash);
        let size = if home == self.centre {
            LATER_SIZE
        } else {
            LATER_AWAY_SIZE
        };
        self.ranks.take(self.centre, home, size)
    }

    /// Remembers the first candidate of an opening packet, which later packets wouldn't try first.
    /// An owner further down the list tells of itself.
    fn note_owner(&mut self, packet: &FlowPacket, list: &[SocketAddrV4], now: Millis) {
        if packet.kind == (PacketKind::Open { retransmission: 0 }) {
            if let Some(owner) = list.first() {
                self.hints.insert(packet.key, *owner, now);
            }
        }
    }

    fn rank(&mut self, service: u32, order: u8, hash: u64, opens: bool, now: Millis) {
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
                far: false,
                service: order,
                busy: opens && slot.is_busy(now),
            },
            score: splitmix64(slot.hash ^ hash),
            centre: slot.centre,
            address: slot.record.address,
            failing: slot.is_failing(),
        }));
    }

    fn forward(
        &mut self,
        packet: &FlowPacket,
        candidates: CandidateList,
        service: u32,
        revision: u64,
        now: Millis,
    ) -> RouteAction {
        let CandidateList {
            agents: mut list,
            mut near,
            centre,
        } = candidates;
        if list.is_empty() {
            return refuse_first(packet, DropCause::NoAgent);
        }
        for candidate in &list {
            self.roster.note_listed(*candidate, now);
        }
        if let PacketKind::Open { retransmission } = packet.kind {
            // Copies start at different candidates, in case one of them is dead.
            if retransmission > 0 {
                let shift = usize::from(retransmission) % list.len();
                list.rotate_left(shift);
                near = near.saturating_sub(retransmission);
            }
        } else if let Some(owner) = self.hints.owner(packet.key, now) {
            list.retain(|candidate| *candidate != owner);
            list.insert(0, owner);
        }
        let to = list.remove(0);
        self.roster.note_sent(to, now);
        let head = ForwardHead {
            balancer: self.address,
            centre,
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
    if packet.kind == (PacketKind::Open { retransmission: 0 }) {
        RouteAction::Refuse(cause)
    } else {
        RouteAction::Drop(cause)
    }
}
