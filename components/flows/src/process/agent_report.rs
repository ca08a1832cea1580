//! Report of an agent to the balancers that send to it.

use super::HeldCounts;

/// Longest processing time that a report may show, in microseconds.
const MAX_WORK_US: u32 = 60_000_000;

/// Largest number of open flows that a report may show: a third of the ports of 47 callers.
const MAX_OPEN_FLOWS: u32 = 1_000_000;

/// State of an agent's backend server, sent to balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Whether the agent accepts new flows.
    pub accepts: bool,
    /// Recent share of the server's responses that are failures, in percent.
    pub failure_percent: u8,
    /// Number of requests in progress at the server, including queued ones.
    pub busy: u32,
    /// Number of requests that the agent holds until a slot is free; they aren't in progress.
    pub queued: u32,
    /// These requests by class; empty in the reports of older builds.
    pub held: HeldCounts,
    /// Number of requests that the server processes at once.
    pub slots: u32,
    /// Order number of the agent's configuration; zero before the first one.
    pub revision: u64,
    /// Whether the server has sent a heartbeat since the agent's start. Before, the agent doesn't
    /// know whether its server is shutting down.
    pub is_confirmed: bool,
    /// Moving average of the time from a request to the start of its response while nothing was queued,
    /// in microseconds; zero if it is unknown.
    pub work_us: u32,
    /// Number of open flows older than a second.
    pub open_flows: u32,
}

impl AgentReport {
    /// Returns the report with impossible values replaced by the nearest possible ones.
    pub fn clamped(self) -> AgentReport {
        AgentReport {
            slots: self.slots.max(1),
            work_us: self.work_us.min(MAX_WORK_US),
            open_flows: self.open_flows.min(MAX_OPEN_FLOWS),
            ..self
        }
    }

    /// Returns whether no slot is free.
    pub(crate) fn is_full(&self) -> bool {
        self.busy >= self.slots.max(1)
    }

    /// Returns the expected queueing delay of a new request of this priority class, in microseconds; zero
    /// if the processing time is unknown. Held requests of unknown classes don't count.
    pub(crate) fn wait_us(&self, class: u8) -> u64 {
        let slots = u64::from(self.slots.max(1));
        let held = self.held.count_before(class).min(self.queued);
        let before = u64::from(self.busy) + u64::from(held);
        let ahead = (before + 1).saturating_sub(slots);
        ahead * u64::from(self.work_us) / slots
    }
}
