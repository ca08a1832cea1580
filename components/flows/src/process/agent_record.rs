//! What a balancer reads of an agent in the store.

use std::net::SocketAddrV4;

use compact_str::CompactString;

/// An agent and the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRecord {
    /// Address at which the agent takes forwarded packets.
    pub address: SocketAddrV4,
    /// Data centre of the agent.
    pub centre: CompactString,
    /// Service of the backend server.
    pub service: CompactString,
}
