//! Heartbeats of the backend server, and what they tell of its runs.

use carobdrum_core::Millis;

use super::FlowTracker;
use crate::{
    connection::{
        ResetCause,
        WorkTime, //
    },
    process::{
        BackendHeartbeat,
        HeartbeatOutcome, //
    },
};

impl FlowTracker {
    /// Applies a heartbeat that the server has just sent, unless it is stale or its run is contested.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: BackendHeartbeat,
        now: Millis,
    ) -> HeartbeatOutcome {
        self.handle_late_heartbeat(heartbeat, now, now)
    }

    /// Applies a heartbeat that the server sent at `sent` or later and that may have waited since in a
    /// socket, as it does while the process is paused.
    pub fn handle_late_heartbeat(
        &mut self,
        heartbeat: BackendHeartbeat,
        sent: Millis,
        now: Millis,
    ) -> HeartbeatOutcome {
        if heartbeat.is_from_elsewhere([self.settings.server, self.settings.address]) {
            return HeartbeatOutcome::Foreign;
        }
        if heartbeat.service != self.settings.service {
            return HeartbeatOutcome::OtherService;
        }
        let cold_remaining = heartbeat.cold_remaining;
        let slots = heartbeat.slots;
        let started_ms = heartbeat.started_ms;
        let is_first = self
            .coverage
            .is_first_of_run(started_ms, heartbeat.sequence, now);
        let last_heartbeat = self.liveness.last_heartbeat();
        let outcome = self
            .liveness
            .handle_heartbeat(heartbeat, is_first, sent, now);
        if !outcome.is_applied() {
            return outcome;
        }
        if outcome != HeartbeatOutcome::Continued {
            self.return_pause.clear();
            self.work = WorkTime::default();
            self.coverage.note_run(started_ms, is_first);
        }
        if let (HeartbeatOutcome::Started, Some(last)) = (outcome, last_heartbeat) {
            // The new run may have accepted flows that were served after the last heartbeat of the former one, which may
            // have been late.
            let ended = last.min(self.coverage.start_of_run(started_ms));
            self.mark_flows_lost(ResetCause::Restarted, ended);
        }
        self.cold.set_remaining(cold_remaining, sent, now);
        self.load.set_slots(slots);
        outcome
    }

    /// Records a reading of the VM's clock, to be made before a heartbeat is applied.
    pub fn note_clock(&mut self, unix_ms: u64, now: Millis) {
        self.coverage.note_clock(unix_ms, now);
    }

    /// Returns whether the agent certainly knows all flows of its server.
    pub fn knows_all_flows(&self, now: Millis) -> bool {
        let is_known_run = self.is_confirmed() && !self.liveness.is_contested();
        is_known_run && self.coverage.is_certain(self.settings.flow_lifetime, now)
    }
}
