//! Actions of a balancer.

use std::net::SocketAddrV4;

use super::DropCause;
use crate::request::ForwardHeader;

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
