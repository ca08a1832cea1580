//! Limit of the new flows of a cold backend server.

use std::collections::VecDeque;

use carobdrum_core::Millis;

/// Window in which new flows are counted. It is longer than the second to which the limit refers,
/// so that packets delayed on the way to the server can't exceed the limit within a second there.
const WINDOW: Millis = Millis(1_100);

/// Time for which a server still counts as cold after the end that it reported, since reports round
/// the remaining time down.
const END_MARGIN: Millis = Millis(20);

/// End of the cold period as long as the server has not reported one.
const UNKNOWN_END: Millis = Millis(u64::MAX);

/// Sliding-window limit of the new flows of a cold server.
#[derive(Debug)]
pub struct ColdBudget {
    cold_until: Millis,
    /// Time at which the server may have turned cold; what it reported before doesn't count.
    unknown_since: Millis,
    accepted: VecDeque<Millis>,
    /// Start of the process. An earlier one may have delivered flows until then.
    started: Millis,
}

impl ColdBudget {
    /// Creates the budget of a server that has not reported its state, and so counts as cold.
    pub fn new(now: Millis) -> ColdBudget {
        ColdBudget {
            cold_until: UNKNOWN_END,
            unknown_since: Millis(0),
            accepted: VecDeque::new(),
            started: now,
        }
    }

    /// Marks the server as possibly cold until the next report that it sends.
    pub fn mark_unknown(&mut self, now: Millis) {
        self.cold_until = UNKNOWN_END;
        self.unknown_since = now;
    }

    /// Sets how long the server remains cold, from a report that it sent at `sent` or later and that
    /// is handled at `now`.
    pub fn set_remaining(&mut self, remaining: Millis, sent: Millis, now: Millis) {
        if sent < self.unknown_since {
            return;
        }
        self.cold_until = if remaining == Millis(0) {
            now
        } else {
            now.plus(remaining).plus(END_MARGIN)
        };
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
        let is_counted = now.since(self.started) >= WINDOW;
        !self.is_cold(now) || (is_counted && self.accepted.len() < limit as usize)
    }

    /// Counts a new flow that was delivered at `now`.
    pub fn record(&mut self, now: Millis) {
        self.accepted.push_back(now);
    }
}
