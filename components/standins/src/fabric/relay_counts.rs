//! Counts of the relay.

/// Counts of the relay since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Datagrams sent to balancers, duplicates included.
    pub forwarded: u64,
    /// Datagrams sent to callers, duplicates included.
    pub returned: u64,
    /// Datagrams lost by faults, cuts and silences.
    pub lost: u64,
    /// Datagrams lost because a bound of the relay was reached or a send failed.
    pub refused: u64,
    /// Sockets open for callers at this moment.
    pub callers: u64,
}
