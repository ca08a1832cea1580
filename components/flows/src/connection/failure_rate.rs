//! Share of a backend server's responses that are failures.

use carobdrum_core::Millis;

/// Weight of a new response in the moving average.
const RESPONSE_WEIGHT: f32 = 0.15;

/// Time in which the average halves without responses, so that a server that gets no requests is
/// tried again.
const HALF_LIFE: Millis = Millis(2_000);

/// Exponentially decaying share of failed responses.
///
/// It is measured on the responses themselves, because health checks may be wrong in either
/// direction.
#[derive(Debug, Default)]
pub struct FailureRate {
    share: f32,
    updated: Millis,
}

impl FailureRate {
    /// Adds a response to the average.
    pub fn record(&mut self, failed: bool, now: Millis) {
        self.decay(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * RESPONSE_WEIGHT;
    }

    /// Returns the share of failed responses, in percent, decayed to `now`.
    pub fn percent(&mut self, now: Millis) -> u8 {
        self.decay(now);
        (self.share * 100.0) as u8
    }

    fn decay(&mut self, now: Millis) {
        let halves = now.since(self.updated).0 as f32 / HALF_LIFE.0 as f32;
        self.share *= 0.5f32.powf(halves);
        self.updated = now;
    }
}
