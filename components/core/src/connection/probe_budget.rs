//! Byte budget of path probes.

use crate::Millis;

/// Time in which the budget of one second refills.
const SECOND_MS: u64 = 1_000;

/// Token bucket that bounds the bytes of probes per second.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    bytes_per_second: u64,
    /// Available budget in thousandths of a byte.
    available: u64,
    updated: Millis,
}

impl ProbeBudget {
    /// Creates a full budget of `bytes_per_second`.
    pub fn new(now: Millis, bytes_per_second: u32) -> ProbeBudget {
        let bytes_per_second = u64::from(bytes_per_second);
        ProbeBudget {
            bytes_per_second,
            available: bytes_per_second * SECOND_MS,
            updated: now,
        }
    }

    /// Takes `bytes` from the budget and returns whether they were there.
    pub fn take(&mut self, now: Millis, bytes: u32) -> bool {
        self.refill(now);
        let cost = u64::from(bytes) * SECOND_MS;
        let Some(rest) = self.available.checked_sub(cost) else {
            return false;
        };
        self.available = rest;
        true
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.updated).0;
        let full = self.bytes_per_second * SECOND_MS;
        let added = elapsed.saturating_mul(self.bytes_per_second);
        self.available = self.available.saturating_add(added).min(full);
        self.updated = self.updated.max(now);
    }
}
