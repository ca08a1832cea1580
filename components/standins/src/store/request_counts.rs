//! Counts of the requests that the store handled.

/// Counts of the requests that the store handled since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Reads that were answered, including blocking queries.
    pub reads: u64,
    /// Writes of keys, including deletions.
    pub writes: u64,
    /// Creations, renewals and destructions of sessions.
    pub session_requests: u64,
    /// Blocking queries that waited for a change, whether they still do or not.
    pub watches: u64,
    /// Blocking queries that are waiting now.
    pub waiting: u64,
}
