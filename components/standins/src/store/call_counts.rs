//! Counts of the calls that the store served.

/// Counts of the calls that the store served since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Reads that were answered, blocking queries included.
    pub reads: u64,
    /// Writes of keys, deletions included.
    pub writes: u64,
    /// Creations, renewals and destructions of sessions.
    pub session_calls: u64,
    /// Blocking queries that had to wait.
    pub watches: u64,
    /// Blocking queries that wait at this moment.
    pub waiting: u64,
}
