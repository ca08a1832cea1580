//! Budget of retries.

use crate::Millis;

/// Units of one retry.
const RETRY_COST: u64 = 1_000;

/// Units that each request adds: a tenth of a retry.
const REQUEST_SHARE: u64 = 100;

/// Units that each millisecond adds: one retry per second, so that an idle service can retry.
const MILLI_SHARE: u64 = 1;

/// Most units that are saved: ten retries.
const CAPACITY: u64 = 10 * RETRY_COST;

/// Allows retries for a tenth of the requests plus one per second.
///
/// Without a budget, retries of a failing server multiply its load when it can bear least.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    units: u64,
    updated: Millis,
}

impl RetryBudget {
    /// Creates a budget that allows one retry at once.
    pub fn new(now: Millis) -> RetryBudget {
        RetryBudget {
            units: RETRY_COST,
            updated: now,
        }
    }

    /// Counts a first attempt.
    pub fn count_request(&mut self) {
        self.add(REQUEST_SHARE);
    }

    /// Takes one retry from the budget and returns whether it was there.
    pub fn take_retry(&mut self, now: Millis) -> bool {
        self.add(now.since(self.updated).0.saturating_mul(MILLI_SHARE));
        self.updated = self.updated.max(now);
        let Some(rest) = self.units.checked_sub(RETRY_COST) else {
            return false;
        };
        self.units = rest;
        true
    }

    fn add(&mut self, units: u64) {
        self.units = self.units.saturating_add(units).min(CAPACITY);
    }
}
