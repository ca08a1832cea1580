//! Run of a backend server.

use compact_str::CompactString;

/// A run of a backend server, from its start to its end, as its heartbeats name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRun {
    /// Identity of the server, chosen by itself.
    pub server_id: CompactString,
    /// Unix time of the server's start, in milliseconds.
    pub started_ms: u64,
}
