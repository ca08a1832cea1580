//! Entry of an agent in the store.

use std::net::SocketAddrV4;

use compact_str::CompactString;

/// An agent and the service of the backend server beside it, as the store lists them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentRecord {
    /// Address at which the agent receives forwarded packets; it identifies the agent.
    pub address: SocketAddrV4,
    /// Data centre of the agent.
    pub centre: CompactString,
    /// Name of the backend server's service.
    pub service: CompactString,
    /// Whether the server is shutting down or has deregistered. It remains true across restarts of
    /// the agent, until a heartbeat shows otherwise.
    pub is_leaving: bool,
}
