//! Whether an agent knows all flows of its server.

use carobdrum_core::Millis;

/// Longest time before the start of the agent at which a server may have started without holding a flow
/// from the time of an earlier agent, which had to get a heartbeat, accept a flow and be restarted.
const START_TOLERANCE_MS: u64 = 1_000;

/// Whether an agent knows all flows of its server. An agent that was restarted doesn't know those that its
/// server accepted before.
#[derive(Debug)]
pub struct FlowCoverage {
    started: Millis,
    /// Unix time of the start, in milliseconds.
    started_unix_ms: u64,
    is_complete: bool,
}

impl FlowCoverage {
    /// Creates the state of an agent that starts at `now`, which is `started_unix_ms` in Unix time.
    pub fn new(started_unix_ms: u64, now: Millis) -> FlowCoverage {
        FlowCoverage {
            started: now,
            started_unix_ms,
            is_complete: false,
        }
    }

    /// Records a run of the server that began at this Unix time, in milliseconds. Both times come from
    /// the clock of one VM, and an error costs the flows that the agent takes for unknown to its server.
    pub fn note_run(&mut self, server_started_ms: u64) {
        self.is_complete =
            server_started_ms.saturating_add(START_TOLERANCE_MS) >= self.started_unix_ms;
    }

    /// Records a run of the server that began while the agent was running.
    pub fn note_new_run(&mut self) {
        self.is_complete = true;
    }

    /// Returns whether the agent knows all flows of its server at `now`, as flows live no longer than
    /// `flow_lifetime`.
    pub fn is_complete(&self, flow_lifetime: Millis, now: Millis) -> bool {
        self.is_complete || now.since(self.started) >= flow_lifetime
    }
}
