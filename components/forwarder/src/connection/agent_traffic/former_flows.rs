//! Flows that the agent's former process has saved.

use carobdrum_core::Millis;
use tracing::info;

use super::AgentTraffic;

impl AgentTraffic {
    /// Decides about the saved list once a heartbeat shows which run of the server is live, and begins with the resets
    /// of lost flows.
    pub(super) fn settle_former_flows(&mut self, now: Millis) {
        let Some(settled) = self.tracker.settle_former_flows(now) else {
            return;
        };
        info!(
            server = %settled.run.server_id,
            started_ms = settled.run.started_ms,
            flows = settled.flows,
            outcome = settled.outcome.name(),
            "saved flows read"
        );
        self.reset_former_flows(now);
    }

    pub(super) fn reset_former_flows(&mut self, now: Millis) {
        self.run_tracker(|tracker, actions| tracker.reset_former_flows(now, actions));
    }
}
