//! Header that balancers and agents send with a packet of a caller.

use std::net::SocketAddrV4;

/// The least loaded agent among those that an opening packet has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BestOffer {
    /// Address of the agent.
    pub agent: SocketAddrV4,
    /// Expected queueing delay of a new request there, in microseconds, plus the penalty for
    /// another data centre.
    pub wait_us: u32,
}

/// Header of a forwarded packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHeader {
    /// Address of the balancer that received the packet from the caller.
    pub balancer: SocketAddrV4,
    /// Hash of the flow's data centre: the caller's, unless no agent there is usable.
    pub centre_hash: u32,
    /// Hash of the service for which the balancer chose the candidates.
    pub service_hash: u32,
    /// Order number of the balancer's configuration.
    pub revision: u64,
    /// Number of agents that the packet has passed.
    pub hops: u8,
    /// Remaining candidates, in order.
    pub rest: Vec<SocketAddrV4>,
    /// Number of agents at the front of `rest` that are in the flow's data centre.
    pub near: u8,
    /// The best offer so far for an opening packet; `None` if no agent has made one.
    pub best: Option<BestOffer>,
    /// Whether the packet is on its way to the agent of the best offer.
    pub assigned: bool,
    /// Whether a backend server may have got a copy of the opening packet, so that the flow must not
    /// be refused.
    pub delivered: bool,
    /// Agents to which the owner of the flow announces itself, because later packets may not find
    /// it otherwise.
    pub anchors: Vec<SocketAddrV4>,
    /// Whether balancers of the caller's data centre find the owner of an opening packet by its
    /// rank, so that only the anchors of a long flow need the announcement.
    pub is_firm: bool,
    /// Number of agents at the end of `rest` that don't answer the balancer. A later packet that gets to them may be lost
    /// there.
    pub silent: u8,
}

impl ForwardHeader {
    /// Returns whether an opening packet has no further agent to ask: none is left, or those that
    /// are left are in other data centres and the best offer is no worse than `penalty_us`, the
    /// cost of a hop there.
    pub fn has_asked_all(&self, penalty_us: u32) -> bool {
        let near_enough = self.best.is_some_and(|best| best.wait_us <= penalty_us);
        self.rest.is_empty() || (self.near == 0 && near_enough)
    }
}
