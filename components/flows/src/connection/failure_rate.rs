//! Share of a backend server's answers that are failures.

use carobdrum_core::Millis;

/// Share of a new answer in the average.
const ANSWER_SHARE: f32 = 0.15;

/// Time in which the average falls to half without answers, so that a server that gets no requests
/// is tried again.
const HALF_LIFE: Millis = Millis(2_000);

/// Share of failed answers, weighted by age.
///
/// Health checks may lie in either direction; answers don't.
#[derive(Debug, Default)]
pub struct FailureRate {
    share: f32,
    updated: Millis,
}

impl FailureRate {
    /// Counts an answer.
    pub fn record(&mut self, failed: bool, now: Millis) {
        self.decay(now);
        let sample = if failed { 1.0 } else { 0.0 };
        self.share += (sample - self.share) * ANSWER_SHARE;
    }

    /// Returns the share of failures, in percent.
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
