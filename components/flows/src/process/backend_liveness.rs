//! Liveness of the backend server beside an agent.

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
    fn is_same_run(&self, other: &BackendHeartbeat) -> bool {
        self.id == other.id && self.started_ms == other.started_ms
    }
}

/// Liveness of the backend server beside an agent, from its heartbeats and packets.
///
/// Before the first heartbeat the server counts as inactive: an agent that starts knows neither
/// whether the server has ended, so that another service may soon reuse its address, nor whether it
/// is shutting down.
#[derive(Debug)]
pub struct BackendLiveness {
    heartbeat: Option<BackendHeartbeat>,
    last_activity: Millis,
    activity_timeout: Millis,
    deregistered: bool,
}

impl BackendLiveness {
    /// Creates the state of a server that has not sent a heartbeat. After each heartbeat or packet
    /// it counts as alive for `activity_timeout`.
    ///
    /// `activity_timeout` must be shorter than the time after which another service may reuse the
    /// address of a server that has ended.
    pub fn new(activity_timeout: Millis) -> BackendLiveness {
        BackendLiveness {
            heartbeat: None,
            last_activity: Millis(0),
            activity_timeout,
            deregistered: false,
        }
    }

    /// Changes the time without activity after which the server gets no new flows.
    pub fn set_activity_timeout(&mut self, activity_timeout: Millis) {
        self.activity_timeout = activity_timeout;
    }

    /// Returns whether a heartbeat comes from another run of the server than the last one did.
    pub fn is_new_run(&self, heartbeat: &BackendHeartbeat) -> bool {
        self.heartbeat
            .as_ref()
            .is_none_or(|known| !known.is_same_run(heartbeat))
    }

    /// Applies a heartbeat; returns false if it is stale: repeated, from an earlier run, or from a
    /// run that has deregistered.
    pub fn handle_heartbeat(&mut self, heartbeat: BackendHeartbeat, now: Millis) -> bool {
        if let Some(known) = &self.heartbeat {
            let same = known.is_same_run(&heartbeat);
            let repeated = same && (self.deregistered || heartbeat.sequence <= known.sequence);
            let is_stale = repeated || heartbeat.started_ms < known.started_ms;
            if is_stale {
                return false;
            }
        }
        self.heartbeat = Some(heartbeat);
        self.last_activity = now;
        self.deregistered = false;
        true
    }

    /// Marks the server as deregistered; returns false if its last heartbeat had another identity.
    pub fn deregister(&mut self, id: &str) -> bool {
        let is_current = self
            .heartbeat
            .as_ref()
            .is_none_or(|heartbeat| heartbeat.id == id);
        if is_current {
            self.deregistered = true;
        }
        is_current
    }

    /// Returns whether the server has sent a heartbeat to this agent.
    pub fn is_confirmed(&self) -> bool {
        self.heartbeat.is_some()
    }

    /// Returns whether the server is shutting down or has deregistered.
    pub fn is_leaving(&self) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        let draining = heartbeat.is_some_and(|heartbeat| heartbeat.state == BackendState::Draining);
        self.deregistered || draining
    }

    /// Returns whether the server has deregistered.
    pub fn is_deregistered(&self) -> bool {
        self.deregistered
    }

    /// Records a packet that the server sent for a flow that it holds.
    pub fn note_activity(&mut self, now: Millis) {
        if !self.deregistered {
            self.last_activity = self.last_activity.max(now);
        }
    }

    /// Returns whether the server accepts new flows.
    pub fn accepts_flows(&self, now: Millis) -> bool {
        let is_active = now.since(self.last_activity) < self.activity_timeout;
        self.is_confirmed() && !self.is_leaving() && is_active
    }

    /// Returns the service that the last heartbeat named; `None` before the first one.
    pub fn service(&self) -> Option<&CompactString> {
        self.heartbeat.as_ref().map(|heartbeat| &heartbeat.service)
    }
}
