//! Whether an agent knows all flows of its server.

use carobdrum_core::Millis;

/// Longest time before the start of the agent at which a server may have started without holding a flow
/// from the time of an earlier agent, which had to get a heartbeat, accept a flow and be restarted.
const START_TOLERANCE_MS: u64 = 1_000;

/// Highest sequence number of a heartbeat that shows, whatever the time of day, that its server has just
/// started: a server sends a heartbeat about every 1.2 s.
const MAX_EARLY_SEQUENCE: u64 = 4;

/// Whether an agent knows all flows of its server. An agent that was restarted doesn't know those that its
/// server accepted before.
#[derive(Debug)]
pub struct FlowCoverage {
    started: Millis,
    /// Unix time of the start, in milliseconds.
    started_unix_ms: u64,
    is_complete: bool,
    is_certain: bool,
}

impl FlowCoverage {
    /// Creates the state of an agent that starts at `now`, which is `started_unix_ms` in Unix time.
    pub fn new(started_unix_ms: u64, now: Millis) -> FlowCoverage {
        FlowCoverage {
            started: now,
            started_unix_ms,
            is_complete: false,
            is_certain: false,
        }
    }

    /// Returns the Unix time in milliseconds at `now`, by the clock at the start of the agent.
    pub fn unix_ms(&self, now: Millis) -> u64 {
        self.started_unix_ms
            .saturating_add(now.since(self.started).0)
    }

    /// Records a run of the server that began at this Unix time, in milliseconds, and whose first known
    /// heartbeat has this sequence number. Both times come from the clock of one VM. Where packets are
    /// only redirected, an error costs the flows that the agent takes for unknown to its server; where
    /// flows are reset, the sequence number has to agree.
    pub fn note_run(&mut self, server_started_ms: u64, sequence: u64) {
        self.is_complete =
            server_started_ms.saturating_add(START_TOLERANCE_MS) >= self.started_unix_ms;
        self.is_certain = self.is_complete && sequence <= MAX_EARLY_SEQUENCE;
    }

    /// Records a run of the server that began while the agent was running.
    pub fn note_new_run(&mut self) {
        self.is_complete = true;
        self.is_certain = true;
    }

    /// Returns whether the agent knows all flows of its server at `now`, as flows live no longer than
    /// `flow_lifetime`.
    pub fn is_complete(&self, flow_lifetime: Millis, now: Millis) -> bool {
        self.is_complete || self.has_run_for(flow_lifetime, now)
    }

    /// Returns the same without relying on the time of day alone, as the reset of a flow requires.
    pub fn is_certain(&self, flow_lifetime: Millis, now: Millis) -> bool {
        self.is_certain || self.has_run_for(flow_lifetime, now)
    }

    fn has_run_for(&self, flow_lifetime: Millis, now: Millis) -> bool {
        now.since(self.started) >= flow_lifetime
    }
}
