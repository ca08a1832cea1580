//! Limit on the bytes of path probes.

use crate::Millis;

/// Milliseconds per second, and thousandths of a byte per byte.
const SECOND_MS: u64 = 1_000;

/// Token bucket that bounds the bytes of probes per second.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    bytes_per_second: u64,
    available_millibytes: u64,
    updated: Millis,
}

impl ProbeBudget {
    /// Creates a full budget, which holds the bytes of one second.
    pub fn new(now: Millis, bytes_per_second: u32) -> ProbeBudget {
        let bytes_per_second = u64::from(bytes_per_second);
        ProbeBudget {
            bytes_per_second,
            available_millibytes: bytes_per_second * SECOND_MS,
            updated: now,
        }
    }

    /// Takes `bytes` from the budget and returns whether it had enough; if not, it is unchanged.
    pub fn take(&mut self, now: Millis, bytes: u32) -> bool {
        self.refill(now);
        let cost = u64::from(bytes) * SECOND_MS;
        let Some(rest) = self.available_millibytes.checked_sub(cost) else {
            return false;
        };
        self.available_millibytes = rest;
        true
    }

    fn refill(&mut self, now: Millis) {
        let elapsed = now.since(self.updated).0;
        let full = self.bytes_per_second * SECOND_MS;
        let added = elapsed.saturating_mul(self.bytes_per_second);
        self.available_millibytes = self.available_millibytes.saturating_add(added).min(full);
        self.updated = self.updated.max(now);
    }
}
