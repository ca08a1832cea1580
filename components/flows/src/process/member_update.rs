//! Changes of the agents' keys in the store, as a balancer reads them.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::AgentRecord;

/// Complete list of the agents' keys in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberListing {
    /// Entries, which have a lease.
    pub entries: Vec<AgentRecord>,
    /// Registrations, which have none.
    pub registrations: Vec<AgentRecord>,
    /// Order number of the list; see [`StoreRevision`](crate::version::StoreRevision).
    pub revision: u64,
    /// Order number of each agent's last write, sorted by address.
    pub revisions: Vec<(SocketAddrV4, u64)>,
    /// Absent agents with the order numbers of the registrations for which they are marked, sorted by address.
    pub absent: Vec<(SocketAddrV4, u64)>,
    /// Time before the first request of the listing was sent.
    pub started: Millis,
    /// Time at which the last response arrived.
    pub finished: Millis,
}

/// What a balancer has read of the agents' registrations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberUpdate {
    /// All keys.
    Listed(MemberListing),
    /// A registration was written at this order number.
    Registered(AgentRecord, u64),
    /// A registration was deleted.
    Unregistered(SocketAddrV4),
    /// A request to the store has failed.
    StoreFailed,
}
