//! Limit on the rate of retries.

use crate::Millis;

/// Cost of one retry.
const UNITS_PER_RETRY: u64 = 1_000;

/// Each request earns a tenth of a retry.
const UNITS_PER_REQUEST: u64 = 100;

/// Each second earns one retry, so that a service with few requests can retry.
const UNITS_PER_MS: u64 = 1;

/// At most ten retries can be saved up.
const MAX_UNITS: u64 = 10 * UNITS_PER_RETRY;

/// Allows retries for a tenth of the requests plus one per second.
///
/// Without a budget, retries multiply the load of a failing server when it can handle the least.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    units: u64,
    updated: Millis,
}

impl RetryBudget {
    /// Creates a budget that allows one retry at once.
    pub fn new(now: Millis) -> RetryBudget {
        RetryBudget {
            units: UNITS_PER_RETRY,
            updated: now,
        }
    }

    /// Counts a first attempt.
    pub fn count_request(&mut self) {
        self.add(UNITS_PER_REQUEST);
    }

    /// Takes one retry from the budget and returns whether it is allowed.
    pub fn take_retry(&mut self, now: Millis) -> bool {
        self.add(now.since(self.updated).0.saturating_mul(UNITS_PER_MS));
        self.updated = self.updated.max(now);
        let Some(rest) = self.units.checked_sub(UNITS_PER_RETRY) else {
            return false;
        };
        self.units = rest;
        true
    }

    fn add(&mut self, units: u64) {
        self.units = self.units.saturating_add(units).min(MAX_UNITS);
    }
}
