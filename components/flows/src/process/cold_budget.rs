//! Limit of the new flows of a cold backend server.

use std::collections::VecDeque;

use carobdrum_core::Millis;

/// Window in which new flows are counted. It is longer than the second to which the limit refers,
/// so that packets delayed on the way to the server can't exceed the limit within a second there.
const WINDOW: Millis = Millis(1_100);

/// End of the cold period as long as the server has not reported one.
const UNKNOWN_END: Millis = Millis(u64::MAX);

/// Sliding-window limit of the new flows of a cold server.
#[derive(Debug)]
pub struct ColdBudget {
    cold_until: Millis,
    accepted: VecDeque<Millis>,
}

impl Default for ColdBudget {
    /// Creates the budget of a server that has not reported its state, and so counts as cold.
    fn default() -> ColdBudget {
        ColdBudget {
            cold_until: UNKNOWN_END,
            accepted: VecDeque::new(),
        }
    }
}

impl ColdBudget {
    /// Marks the server as possibly restarted; it counts as cold until its next heartbeat.
    pub fn mark_possibly_restarted(&mut self) {
        self.cold_until = UNKNOWN_END;
    }

    /// Sets the time until which the server is cold.
    pub fn set_cold_until(&mut self, until: Millis) {
        self.cold_until = until;
    }

    /// Returns whether the server is cold at `now`.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server may get another new flow, with `limit` flows per window while it
    /// is cold.
    pub fn has_room(&mut self, now: Millis, limit: u32) -> bool {
        while self
            .accepted
            .front()
            .is_some_and(|accepted| now.since(*accepted) >= WINDOW)
        {
            self.accepted.pop_front();
        }
        !self.is_cold(now) || self.accepted.len() < limit as usize
    }

    /// Counts a new flow that was delivered at `now`.
    pub fn record(&mut self, now: Millis) {
        self.accepted.push_back(now);
    }
}
