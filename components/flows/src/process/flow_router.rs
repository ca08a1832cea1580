//! Routing of callers' packets at a balancer.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};

use super::{
    agent_table::AgentState,
    candidate_ranking::{
        Candidate,
        CandidateLimits, //
        CandidateList,
        CandidateRank,
        CandidateRanking,
    },
    name_hash,
    AgentTable,
    OwnerCache, //
};
use crate::{
    request::{
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
    version::SiteConfig, //
};

/// Limits for opening packets. While all servers are busy, each candidate in another data centre
/// adds the delay of a hop there.
const OPENING_LIMITS: CandidateLimits = CandidateLimits {
    near: 4,
    far: 1,
    all_far: 2,
};

/// Limits for later packets, which need more candidates: the owner may have been among the first
/// only because others accepted no new flows, and agents that joined since may rank before it.
const LATER_LIMITS: CandidateLimits = CandidateLimits {
    near: 8,
    far: 4,
    all_far: 12,
};

/// Limits for later packets whose flows go to another data centre than the caller's. Flows that
/// opened before the caller's data centre was evacuated are still there.
const LATER_REMOTE_LIMITS: CandidateLimits = CandidateLimits {
    near: 4,
    far: 4,
    all_far: 8,
};

/// Reason for which a balancer drops a packet or refuses a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropCause {
    /// No configuration or no agents are known yet.
    NotReady,
    /// No route has the packet's address, or the route has no service.
    NoRoute,
    /// No agent of the service is known.
    NoAgent,
    /// The packet is of a kind that only backend servers send.
    Forged,
}

impl DropCause {
    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            DropCause::NotReady => "not_ready",
            DropCause::NoRoute => "no_route",
            DropCause::NoAgent => "no_agent",
            DropCause::Forged => "forged",
        }
    }
}

/// Action that a balancer carries out for a packet of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouteAction {
    /// Send the packet to an agent.
    Forward {
        /// The agent, which is the first candidate.
        to: SocketAddrV4,
        /// The header to send with the packet.
        header: ForwardHeader,
    },
    /// Reset the flow, which hasn't opened.
    Refuse(DropCause),
    /// Drop the packet without an answer.
    Drop(DropCause),
}

/// Routing state of a balancer.
#[derive(Debug)]
pub struct FlowRouter {
    /// Configuration in force; `None` until the first one is known.
    pub config: Option<Arc<SiteConfig>>,
    /// Known agents.
    pub agents: AgentTable,
    /// Owners of flows that are not at their first candidate.
    pub owners: OwnerCache,
    address: SocketAddrV4,
    /// Hash of the data centre's name.
    centre: u32,
    ranking: CandidateRanking,
}

impl FlowRouter {
    /// Creates the state of a balancer in data centre `centre`, to which agents reply at `address`.
    pub fn new(address: SocketAddrV4, centre: &str) -> FlowRouter {
        FlowRouter {
            config: None,
            agents: AgentTable::default(),
            owners: OwnerCache::default(),
            address,
            centre: name_hash(centre),
            ranking: CandidateRanking::default(),
        }
    }

    /// Decides about a packet of a caller.
    pub fn route(&mut self, packet: &FlowPacket, now: Millis) -> RouteAction {
        let forged = packet.kind == PacketKind::Accept || packet.returned;
        if forged {
            return RouteAction::Drop(DropCause::Forged);
        }
        let Some(config) = self.config.clone() else {
            return RouteAction::Drop(DropCause::NotReady);
        };
        if !self.agents.is_loaded() {
            return RouteAction::Drop(DropCause::NotReady);
        }
        let Some(route) = config.route(packet.key.service_address) else {
            return refuse_or_drop(packet, DropCause::NoRoute);
        };
        let hash = packet.key.hash();
        let mut services = route.services(hash).map(|name| name_hash(name));
        let Some(service) = services.next() else {
            return refuse_or_drop(packet, DropCause::NoRoute);
        };
        let list = if packet.is_open() {
            let later = self.list_later(service, hash, std::iter::empty(), now);
            let list = self.list_opening(service, hash, now);
            if list.agents.first() != later.agents.first() {
                self.remember_owner(packet, &list.agents, now);
            }
            list
        } else {
            self.list_later(service, hash, services, now)
        };
        self.forward(packet, list, service, config.revision, now)
    }

    /// Returns the candidates of an opening packet.
    fn list_opening(&mut self, service: u32, hash: u64, now: Millis) -> CandidateList {
        self.ranking.clear();
        self.add_candidates(service, 0, hash, true, now);
        self.ranking.exclude_suspects();
        self.ranking.eject_failing(hash);
        let home = self.ranking.set_home(self.centre, hash);
        self.ranking.take(self.centre, home, OPENING_LIMITS)
    }

    /// Returns the candidates of a later packet. Its flow may have opened while the route led to
    /// one of the `others`, so their agents come last.
    fn list_later(
        &mut self,
        service: u32,
        hash: u64,
        others: impl Iterator<Item = u32>,
        now: Millis,
    ) -> CandidateList {
        self.ranking.clear();
        self.add_candidates(service, 0, hash, false, now);
        for (index, other) in others.enumerate() {
            self.add_candidates(other, index as u8 + 1, hash, false, now);
        }
        let home = self.ranking.set_home(self.centre, hash);
        let limits = if home == self.centre {
            LATER_LIMITS
        } else {
            LATER_REMOTE_LIMITS
        };
        self.ranking.take(self.centre, home, limits)
    }

    /// Remembers the first candidate of an opening packet when later packets wouldn't try it first.
    /// An owner further down the list announces itself.
    fn remember_owner(&mut self, packet: &FlowPacket, list: &[SocketAddrV4], now: Millis) {
        if packet.kind == (PacketKind::Open { retransmission: 0 }) {
            if let Some(owner) = list.first() {
                self.owners.insert(packet.key, *owner, now);
            }
        }
    }

    fn add_candidates(
        &mut self,
        service: u32,
        order: u8,
        hash: u64,
        is_opening: bool,
        now: Millis,
    ) {
        let config = &self.config;
        let evacuated = |state: &AgentState| {
            config
                .as_ref()
                .is_some_and(|config| config.is_evacuated(&state.record.centre))
        };
        let usable =
            |state: &&AgentState| !is_opening || (state.report.accepts && !evacuated(state));
        let candidates = self.agents.of_service(service).filter(usable);
        self.ranking.extend(candidates.map(|state| Candidate {
            rank: CandidateRank {
                suspect: state.is_suspect(now),
                evacuated: evacuated(state),
                far: false,
                service: order,
                busy: is_opening && state.is_busy(now),
            },
            score: splitmix64(state.hash ^ hash),
            centre: state.centre,
            address: state.record.address,
            failing: state.is_failing(),
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
            return refuse_or_drop(packet, DropCause::NoAgent);
        }
        for candidate in &list {
            self.agents.note_candidate(*candidate, now);
        }
        if let PacketKind::Open { retransmission } = packet.kind {
            // Each retransmission starts at another candidate, in case the first one is dead.
            if retransmission > 0 {
                let shift = usize::from(retransmission) % list.len();
                list.rotate_left(shift);
                near = near.saturating_sub(retransmission);
            }
        } else if let Some(owner) = self.owners.owner(packet.key, now) {
            list.retain(|candidate| *candidate != owner);
            list.insert(0, owner);
        }
        let to = list.remove(0);
        self.agents.note_sent(to, now);
        let header = ForwardHeader {
            balancer: self.address,
            centre_hash: centre,
            service_hash: service,
            revision,
            hops: 0,
            rest: list,
            near: near.saturating_sub(1),
            best: None,
            assigned: false,
            delivered: false,
        };
        RouteAction::Forward { to, header }
    }
}

/// Refuses the first copy of an opening packet, and drops any other packet: a retransmission may
/// belong to a flow that has opened.
fn refuse_or_drop(packet: &FlowPacket, cause: DropCause) -> RouteAction {
    if packet.kind == (PacketKind::Open { retransmission: 0 }) {
        RouteAction::Refuse(cause)
    } else {
        RouteAction::Drop(cause)
    }
}
