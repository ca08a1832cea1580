//! The immutable plan that traffic threads use to forward datagrams.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::{
    connection::{
        pick_targets,
        FlowId,
        TargetWeight, //
    },
    version::{
        CentreId,
        KeyRing,
        ServiceId, //
    },
};
use carobdrum_wire::PacketHeader;

use crate::connection::{
    DropReason,
    RouteDecision, //
};

/// An agent that may take new flows of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanTarget {
    /// Service of the agent's backend server.
    pub service: ServiceId,
    /// Tunnel address of the agent.
    pub agent: SocketAddrV4,
    /// Relative share of the service's new flows; a target with 0 isn't added to a plan.
    pub weight: f32,
}

/// A service address and its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlanAddress {
    pub(crate) address: SocketAddrV4,
    pub(crate) service: ServiceId,
}

/// Forwarding rules of one version of the configuration and one state of the member list.
#[derive(Clone, Default)]
pub struct ForwardPlan {
    pub(crate) number: u32,
    pub(crate) keys: Option<Arc<KeyRing>>,
    /// Sorted by address.
    pub(crate) addresses: Vec<PlanAddress>,
    /// Sorted by service.
    pub(crate) targets: Vec<PlanTarget>,
    /// Sorted.
    pub(crate) evacuated_centres: Vec<CentreId>,
}

impl ForwardPlan {
    /// Returns the number of the version that the plan was built from, or 0 before the first.
    pub fn config_number(&self) -> u32 {
        self.number
    }

    /// Returns the service addresses to open, sorted.
    pub fn service_addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.addresses.iter().map(|entry| entry.address)
    }

    /// Returns the service address at an index of the sorted list.
    pub(crate) fn address_at(&self, index: u16) -> Option<SocketAddrV4> {
        self.addresses
            .get(usize::from(index))
            .map(|entry| entry.address)
    }

    /// Returns the service that has the address `address`, or `None` if the plan has no such
    /// address.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<ServiceId> {
        let found = self
            .addresses
            .binary_search_by_key(&address, |entry| entry.address);
        found.ok().map(|index| self.addresses[index].service)
    }

    /// Decides what to do with a datagram that a caller sent to `service`.
    ///
    /// A packet of an established flow is routed by its connection ID alone, so the cost doesn't
    /// depend on the number of targets.
    pub fn route(&self, service: ServiceId, packet: &[u8]) -> RouteDecision {
        let Some(head) = PacketHeader::parse(packet) else {
            return RouteDecision::Drop(DropReason::Malformed);
        };
        if let Some(flow) = FlowId::from_slice(head.id()) {
            if let Some(owner) = self.keys.as_ref().and_then(|keys| keys.open(&flow)) {
                if owner.service != service {
                    return RouteDecision::Drop(DropReason::ForeignService);
                }
                if self.is_evacuated(owner.centre) {
                    return RouteDecision::Evacuated(flow);
                }
                return RouteDecision::Established(owner.agent);
            }
        }
        match head {
            PacketHeader::Initial(id) => self.place(service, id),
            PacketHeader::Long(_) | PacketHeader::Short(_) => {
                RouteDecision::Drop(DropReason::Unowned)
            }
        }
    }

    fn place(&self, service: ServiceId, id: &[u8]) -> RouteDecision {
        let targets = self.targets_of(service);
        let weights = targets.iter().map(|target| TargetWeight {
            key: target.agent,
            hash: address_hash(target.agent),
            weight: target.weight,
        });
        match pick_targets(weights, fnv1a_hash(id)) {
            Some((first, second)) => RouteDecision::Placed { first, second },
            None => RouteDecision::Drop(DropReason::NoTarget),
        }
    }

    /// Returns whether the agent is a target of new flows of the service.
    pub(crate) fn has_target(&self, service: ServiceId, agent: SocketAddrV4) -> bool {
        let key = |target: &PlanTarget| (target.service, target.agent);
        self.targets
            .binary_search_by_key(&(service, agent), key)
            .is_ok()
    }

    fn targets_of(&self, service: ServiceId) -> &[PlanTarget] {
        let start = self
            .targets
            .partition_point(|target| target.service < service);
        let end = self
            .targets
            .partition_point(|target| target.service <= service);
        &self.targets[start..end]
    }

    fn is_evacuated(&self, centre: CentreId) -> bool {
        self.evacuated_centres.binary_search(&centre).is_ok()
    }
}

/// Hashes an agent's address; all balancers get the same value.
fn address_hash(agent: SocketAddrV4) -> u64 {
    let number = u64::from(u32::from(*agent.ip())) << 16 | u64::from(agent.port());
    fnv1a_hash(&number.to_be_bytes())
}

/// Returns the 64-bit FNV-1a hash, which has no seed and is the same on every machine.
fn fnv1a_hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, &byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
