//! Reports to balancers.

use carobdrum_core::Millis;

use super::FlowTracker;
use crate::process::AgentReport;

impl FlowTracker {
    /// Returns the report for balancers.
    pub fn report(&mut self, now: Millis) -> AgentReport {
        AgentReport {
            failure_percent: self.failure_rate.percent(now),
            accepts: self.exclusion_cause(now).is_none(),
            busy: self.load.busy(),
            queued: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
            held: self.requests.held_counts(),
            slots: self.load.slots(),
            revision: self.revision(),
            is_confirmed: self.is_confirmed(),
            work_us: self.work.average_us(now),
            open_flows: self.long_flows,
        }
    }
}
