//! New flows that a cold backend server may get.

use std::collections::VecDeque;

use carobdrum_core::Millis;

/// Window in which new flows are counted. It is longer than the second of the limit, so that
/// packets which wait on the way to the server can't fall into one second.
const WINDOW: Millis = Millis(1_100);

/// End of the cold time of a server that hasn't told.
const UNTIL_TOLD: Millis = Millis(u64::MAX);

/// Limits the new flows of a cold server in each sliding window.
#[derive(Debug)]
pub struct ColdBudget {
    cold_until: Millis,
    taken: VecDeque<Millis>,
}

impl Default for ColdBudget {
    /// Starts with a server that may be cold, as it hasn't told.
    fn default() -> ColdBudget {
        ColdBudget {
            cold_until: UNTIL_TOLD,
            taken: VecDeque::new(),
        }
    }
}

impl ColdBudget {
    /// Notes that the server may have started anew; it counts as cold until it tells.
    pub fn suspect_restart(&mut self) {
        self.cold_until = UNTIL_TOLD;
    }

    /// Notes that the server stays cold until `until`.
    pub fn set_cold(&mut self, until: Millis) {
        self.cold_until = until;
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Returns whether another new flow may go to the server under `limit` flows in a window.
    pub fn has_room(&mut self, now: Millis, limit: u32) -> bool {
        while self
            .taken
            .front()
            .is_some_and(|taken| now.since(*taken) >= WINDOW)
        {
            self.taken.pop_front();
        }
        !self.is_cold(now) || self.taken.len() < limit as usize
    }

    /// Counts a new flow.
    pub fn take(&mut self, now: Millis) {
        self.taken.push_back(now);
    }
}
