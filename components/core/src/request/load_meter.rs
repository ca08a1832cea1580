//! Load of one server, as compared between candidates.

use crate::Millis;

/// Time constant of the mean of held requests. The count at one moment is mostly chance on a server
/// with few slots; over five seconds, a slow server is seen too late.
const HELD_TAU_MS: f64 = 1_000.0;

/// Load at which the held requests equal the limit. The other half of the scale distinguishes
/// servers on which requests wait.
const LIMIT_LOAD: f64 = 128.0;

/// Weight of one result in the share of failures.
const FAILURE_WEIGHT: f64 = 0.125;

/// Time constant of the decay of failures. A server that gets no requests because it failed must
/// become eligible again.
const FAILURE_TAU_MS: f64 = 10_000.0;

/// Mean of the requests held over about a second, and share of recent failures.
#[derive(Clone, Debug, Default)]
pub struct LoadMeter {
    mean_held: f64,
    failures: f64,
    updated: Millis,
}

impl LoadMeter {
    /// Accounts for the time since the last call, in which `held` requests ran or waited.
    pub fn update(&mut self, now: Millis, held: usize) {
        self.mean_held = self.mean_at(now, held);
        self.failures *= self.decay(now, FAILURE_TAU_MS);
        self.updated = self.updated.max(now);
    }

    /// Takes the end of a request into account; called after [`LoadMeter::update`].
    pub fn record(&mut self, failed: bool) {
        let sample = if failed { 1.0 } else { 0.0 };
        self.failures += FAILURE_WEIGHT * (sample - self.failures);
    }

    /// Returns the load, where 128 is the limit, or the share of failures in 1/255 if it is larger.
    ///
    /// A server that fails fast holds few requests; by these alone it would attract flows.
    pub fn load(&self, now: Millis, held: usize, limit: u32) -> u8 {
        let held = LIMIT_LOAD * self.mean_at(now, held) / f64::from(limit.max(1));
        let failures = 255.0 * self.failures * self.decay(now, FAILURE_TAU_MS);
        held.max(failures).min(255.0) as u8
    }

    fn mean_at(&self, now: Millis, held: usize) -> f64 {
        let held = held as f64;
        held + (self.mean_held - held) * self.decay(now, HELD_TAU_MS)
    }

    fn decay(&self, now: Millis, tau_ms: f64) -> f64 {
        (-(now.since(self.updated).0 as f64) / tau_ms).exp()
    }
}
