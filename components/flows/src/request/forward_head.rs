//! What accompanies a packet of a caller from process to process.

use std::net::SocketAddrV4;

/// The agent with the least load among those that an opening packet has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BestOffer {
    /// The agent.
    pub agent: SocketAddrV4,
    /// Wait that a new request would have there, distance included, in microseconds.
    pub wait_us: u32,
}

/// What accompanies a packet of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardHead {
    /// Balancer that received the packet.
    pub balancer: SocketAddrV4,
    /// Hash of the flow's data centre: the caller's, unless no agent there is usable.
    pub centre: u32,
    /// Hash of the service that the balancer's configuration names.
    pub service: u32,
    /// Revision of the store that the balancer's configuration has.
    pub revision: u64,
    /// Agents that have seen the packet.
    pub hops: u8,
    /// Candidates that are still to be asked, in order.
    pub rest: Vec<SocketAddrV4>,
    /// How many of `rest`, from the front, are in the flow's data centre.
    pub near: u8,
    /// For an opening packet, the least loaded agent so far.
    pub best: Option<BestOffer>,
    /// Whether the packet is on its way to the best offer.
    pub assigned: bool,
    /// Whether the opening packet was delivered to a backend server before.
    pub delivered: bool,
}

impl ForwardHead {
    /// Returns whether an opening packet asks no further agent: none is left, or the best offer is
    /// better than the way to another data centre, which costs `distance_us`.
    pub fn has_asked_all(&self, distance_us: u32) -> bool {
        let near_enough = self.best.is_some_and(|best| best.wait_us <= distance_us);
        self.rest.is_empty() || (self.near == 0 && near_enough)
    }
}
