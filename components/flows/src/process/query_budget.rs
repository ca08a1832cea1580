//! Limit of the queries that a balancer sends.

use carobdrum_core::Millis;

/// Capacity of the budget, in queries.
const CAPACITY: u64 = 400;

/// Queries that the budget regains in a second. With the capacity, at most 2,000 are sent in any second.
const REFILL_PER_S: u64 = 1_600;

/// Limit of the queries that a balancer sends: at most 2,000 in any second.
#[derive(Debug)]
pub struct QueryBudget {
    /// Remaining queries, in thousandths.
    remaining: u64,
    refilled: Millis,
}

impl Default for QueryBudget {
    fn default() -> QueryBudget {
        QueryBudget {
            remaining: CAPACITY * 1_000,
            refilled: Millis(0),
        }
    }
}

impl QueryBudget {
    /// Takes a query out of the budget; returns false if none is left at `now`.
    pub fn take(&mut self, now: Millis) -> bool {
        let regained = now.since(self.refilled).0.saturating_mul(REFILL_PER_S);
        self.refilled = now;
        self.remaining = self
            .remaining
            .saturating_add(regained)
            .min(CAPACITY * 1_000);
        let is_left = self.remaining >= 1_000;
        if is_left {
            self.remaining -= 1_000;
        }
        is_left
    }
}
