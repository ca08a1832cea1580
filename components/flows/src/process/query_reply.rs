//! Reply of an agent to a query for flows.

use std::net::SocketAddrV4;

/// Reply of an agent to a query for flows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryReply {
    /// Number of the query.
    pub id: u64,
    /// Agent that answers.
    pub agent: SocketAddrV4,
    /// Positions in the query of the flows that the agent's server certainly doesn't hold.
    pub absent: Vec<u32>,
    /// Highest order number of the configuration that the agent knows of.
    pub revision: u64,
    /// Digest of the flows as the agent read them.
    pub digest: u64,
}
