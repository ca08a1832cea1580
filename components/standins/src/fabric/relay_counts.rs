//! Counts of the relay.

/// Counts of the relay's datagrams since its start, and of its sockets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounts {
    /// Datagrams sent to balancers, duplicates included.
    pub forwarded: u64,
    /// Datagrams sent to callers, duplicates included.
    pub returned: u64,
    /// Datagrams lost by injected faults: random loss, isolated balancers and blackholed flows.
    pub lost: u64,
    /// Datagrams dropped because a limit of the relay was reached or sending failed.
    pub dropped: u64,
    /// Sockets open for callers now, one for each pair of caller and service address.
    pub callers: u64,
}
