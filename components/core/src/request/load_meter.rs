//! Load of one server, by which candidates for a flow are compared.

use crate::Millis;

/// Time constant of the mean of outstanding requests. The count at one moment is mostly chance on a
/// server with few slots; over five seconds, a slow server is noticed too late.
const OUTSTANDING_TAU_MS: f64 = 1_000.0;

/// Load at which the outstanding requests equal the limit. The upper half of the scale
/// distinguishes servers by how many requests are queued.
const LIMIT_LOAD: f64 = 128.0;

/// Weight of one result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.125;

/// Time constant with which the share of failures decays. A server that gets no requests because it
/// failed must become eligible again.
const FAILURE_TAU_MS: f64 = 10_000.0;

/// Mean of the outstanding requests over about a second, and share of recent failures.
///
/// Outstanding requests are those that run or are queued.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    mean_outstanding: f64,
    failures: f64,
    updated: Millis,
}

impl LoadMeter {
    /// Accounts for the time since the last call, in which `outstanding` requests ran or were
    /// queued.
    pub fn update(&mut self, now: Millis, outstanding: usize) {
        self.mean_outstanding = self.mean_at(now, outstanding);
        self.failures *= self.decay(now, FAILURE_TAU_MS);
        self.updated = self.updated.max(now);
    }

    /// Records the end of a request; to be called after [`LoadMeter::update`].
    pub fn record(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
    }

    /// Returns the load, where 128 is the limit, or the share of failures in 1/255 if it is larger.
    ///
    /// A server that fails fast has few outstanding requests; by these alone it would attract
    /// flows.
    pub fn load(&self, now: Millis, outstanding: usize, limit: u32) -> u8 {
        let outstanding = LIMIT_LOAD * self.mean_at(now, outstanding) / f64::from(limit.max(1));
        let failures = 255.0 * self.failures * self.decay(now, FAILURE_TAU_MS);
        outstanding.max(failures).min(255.0) as u8
    }

    fn mean_at(&self, now: Millis, outstanding: usize) -> f64 {
        let outstanding = outstanding as f64;
        outstanding + (self.mean_outstanding - outstanding) * self.decay(now, OUTSTANDING_TAU_MS)
    }

    fn decay(&self, now: Millis, tau_ms: f64) -> f64 {
        (-(now.since(self.updated).0 as f64) / tau_ms).exp()
    }
}
