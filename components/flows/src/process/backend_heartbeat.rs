//! Heartbeat of the backend server beside an agent.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use compact_str::CompactString;

/// State that a backend server reports in its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// The server accepts new flows.
    Ready,
    /// The server is shutting down and accepts no new flows.
    Draining,
}

/// One heartbeat of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendHeartbeat {
    /// Identity of the server, chosen by itself.
    pub id: CompactString,
    /// Address of the server.
    pub address: SocketAddrV4,
    /// Unix time of the server's start, in milliseconds.
    pub started_ms: u64,
    /// Sequence number of this heartbeat, which grows during a run of the server.
    pub sequence: u64,
    /// Name of the server's service.
    pub service: CompactString,
    /// State of the server when it sent the heartbeat.
    pub state: BackendState,
    /// Number of requests that the server processes at once.
    pub slots: u32,
    /// Time for which the server stays cold; zero if it is warm.
    pub cold_remaining: Millis,
}

impl BackendHeartbeat {
    /// Returns whether the heartbeat names an address on none of these VMs.
    pub(crate) fn is_from_elsewhere(&self, addresses: [SocketAddrV4; 2]) -> bool {
        addresses.iter().all(|own| own.ip() != self.address.ip())
    }

    /// Returns whether both heartbeats come from the same run of the server.
    pub(super) fn is_same_run(&self, other: &BackendHeartbeat) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }
}
