//! Routing of callers' packets at a balancer.

mod flow_candidates;
mod placement;

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::Millis;

use super::{
    candidate_list::CandidateList,
    candidate_ranking::CandidateRanking,
    name_hash,
    placement_state::PlacementState,
    AgentTable,
    DropCause,
    OwnerCache,
    RouteAction,
    RouterOptions, //
};
use crate::{
    process::flow_router::flow_candidates::owner_services,
    request::{
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
    version::{
        FlowRoute,
        SiteConfig, //
    },
};

/// Routing state of a balancer.
#[derive(Debug)]
pub struct FlowRouter {
    /// Configuration in force; `None` until the first one is known.
    pub config: Option<Arc<SiteConfig>>,
    /// Known agents.
    pub agents: AgentTable,
    /// Owners of flows that are not at their first candidate.
    pub owners: OwnerCache,
    /// Optional features.
    pub options: RouterOptions,
    address: SocketAddrV4,
    /// Hash of the data centre's name.
    centre: u32,
    ranking: CandidateRanking,
    placement: PlacementState,
    /// Scratch space for the services of a later packet.
    services: Vec<u32>,
}

impl FlowRouter {
    /// Creates the state of a balancer in data centre `centre`, to which agents reply at `address`.
    pub fn new(address: SocketAddrV4, centre: &str) -> FlowRouter {
        FlowRouter {
            config: None,
            agents: AgentTable::default(),
            owners: OwnerCache::default(),
            options: RouterOptions::default(),
            address,
            centre: name_hash(centre),
            ranking: CandidateRanking::default(),
            placement: PlacementState::default(),
            services: Vec::new(),
        }
    }

    /// Returns the address at which agents reply.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Decides about a packet of a caller that arrived at `arrived` or later and that may have waited
    /// since in a socket. If a caller may have sent further copies meanwhile, the flow isn't refused.
    pub fn route_late(&mut self, packet: &FlowPacket, arrived: Millis, now: Millis) -> RouteAction {
        let may_be_delivered = packet.may_have_other_copies(now.since(arrived));
        let is_only_copy = packet.is_open() && !may_be_delivered;
        match self.decide(packet, is_only_copy, now) {
            RouteAction::Refuse(cause) if may_be_delivered => RouteAction::Drop(cause),
            RouteAction::Forward { to, mut header } => {
                header.delivered = may_be_delivered;
                RouteAction::Forward { to, header }
            }
            action => action,
        }
    }

    /// Keeps the vectors of a header that was sent, so that the decision about another packet takes no
    /// allocation.
    pub fn recycle(&mut self, header: ForwardHeader) {
        self.ranking.recycle(header.rest);
        self.ranking.recycle(header.anchors);
    }

    /// Decides about a packet of a caller that has just arrived.
    pub fn route(&mut self, packet: &FlowPacket, now: Millis) -> RouteAction {
        let is_only_copy = packet.is_open() && !packet.may_have_other_copies(Millis(0));
        self.decide(packet, is_only_copy, now)
    }

    /// Decides about a packet of a caller. `is_only_copy` tells that it is an opening packet of which no
    /// other copy can have been delivered.
    fn decide(&mut self, packet: &FlowPacket, is_only_copy: bool, now: Millis) -> RouteAction {
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
        if packet.is_open() && self.options.weigh_servers {
            if is_only_copy && self.lacks_room(service, route, hash, now) {
                return RouteAction::Refuse(DropCause::NoRoom);
            }
            self.placement.recent.insert(hash, now);
        }
        let list = if packet.is_open() {
            self.list_opening(packet, service, hash, now)
        } else {
            self.list_owners(&config, route, hash, now)
        };
        self.forward(packet, list, service, config.revision, now)
    }

    /// Returns the header with which a later packet goes to one agent alone, which is none of its candidates; `None` if
    /// no route leads to its address.
    pub fn offer_header(
        &mut self,
        packet: &FlowPacket,
        to: SocketAddrV4,
        now: Millis,
    ) -> Option<ForwardHeader> {
        let config = self.config.clone()?;
        let route = config.route(packet.key.service_address)?;
        let hash = packet.key.hash();
        let service = route.services(hash).next().map(|name| name_hash(name))?;
        let list = self.list_owners(&config, route, hash, now);
        self.ranking.recycle(list.agents);
        self.agents.note_sent(to, now);
        Some(ForwardHeader {
            balancer: self.address,
            centre_hash: list.centre,
            service_hash: service,
            revision: config.revision,
            // Candidates have had the packet before, so the owner announces itself.
            hops: 1,
            rest: Vec::new(),
            near: 0,
            best: None,
            assigned: false,
            delivered: false,
            anchors: list.anchors,
            is_firm: false,
            silent: 0,
        })
    }

    /// Returns the candidates of a later packet of a route.
    fn list_owners(
        &mut self,
        config: &SiteConfig,
        route: &FlowRoute,
        hash: u64,
        now: Millis,
    ) -> CandidateList {
        let mut services = std::mem::take(&mut self.services);
        owner_services(config, route, hash, now, &mut services);
        let list = self.list_later(&services, hash, now);
        self.services = services;
        list
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
            anchors,
            is_firm,
            mut silent,
        } = candidates;
        if list.is_empty() {
            self.ranking.recycle(list);
            self.ranking.recycle(anchors);
            return refuse_or_drop(packet, DropCause::NoAgent);
        }
        for index in self.ranking.taken() {
            self.agents.note_candidate(*index, now);
        }
        if let PacketKind::Open { retransmission } = packet.kind {
            // Each retransmission starts at another candidate, in case the first one is dead.
            if retransmission > 0 {
                let shift = usize::from(retransmission) % list.len();
                list.rotate_left(shift);
                near = near.saturating_sub(retransmission);
            }
        } else if let Some(owner) = self.owners.owner(packet.key, now) {
            let silent_from = list.len() - usize::from(silent);
            let place = list.iter().position(|candidate| *candidate == owner);
            silent -= u8::from(place.is_some_and(|place| place >= silent_from));
            list.retain(|candidate| *candidate != owner);
            list.insert(0, owner);
        }
        let to = list.remove(0);
        let silent = silent.min(u8::try_from(list.len()).unwrap_or(u8::MAX));
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
            anchors,
            is_firm,
            silent,
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
