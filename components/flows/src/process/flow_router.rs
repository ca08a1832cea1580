//! Routing of callers' packets at a balancer.

mod flow_candidates;

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::Millis;

use super::{
    candidate_ranking::{
        CandidateList,
        CandidateRanking, //
    },
    name_hash,
    AgentTable,
    DropCause,
    OwnerCache,
    RouteAction, //
};
use crate::{
    process::flow_router::flow_candidates::owner_services,
    request::{
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
    version::SiteConfig, //
};

/// Number of the first candidates of later packets that remain candidates when agents join.
const FIRM_RANKS: usize = 4;

/// Limit of the agents to which an owner announces itself. Two, so that one of them may restart.
const MAX_ANCHORS: usize = 2;

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
        let Some(service) = route.services(hash).next().map(|name| name_hash(name)) else {
            return refuse_or_drop(packet, DropCause::NoRoute);
        };
        let (list, anchors) = if packet.is_open() {
            let later = self.list_later(&[service], hash, now);
            let list = self.list_opening(service, hash, now);
            if list.agents.first() != later.agents.first() {
                self.remember_owner(packet, &list.agents, now);
            }
            let anchors = anchors(&list.agents, &later.agents);
            (list, anchors)
        } else {
            let services = owner_services(&config, route, hash, now);
            (self.list_later(&services, hash, now), Vec::new())
        };
        let action = self.forward(packet, list, service, config.revision, now);
        with_anchors(action, anchors)
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
            anchors: Vec::new(),
        };
        RouteAction::Forward { to, header }
    }
}

/// Returns the agents to which the owner of a flow announces itself, if it is one of `opening` and
/// later packets may not find it: agents that join move an owner down the list of later packets,
/// `later`, until it is no longer in it.
fn anchors(opening: &[SocketAddrV4], later: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
    let firmly_listed = &later[..later.len().min(FIRM_RANKS)];
    let is_firm = |owner: &SocketAddrV4| firmly_listed.contains(owner);
    if opening.iter().all(is_firm) {
        return Vec::new();
    }
    later.iter().take(MAX_ANCHORS).copied().collect()
}

fn with_anchors(action: RouteAction, anchors: Vec<SocketAddrV4>) -> RouteAction {
    match action {
        RouteAction::Forward { to, header } => RouteAction::Forward {
            to,
            header: ForwardHeader { anchors, ..header },
        },
        other => other,
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
