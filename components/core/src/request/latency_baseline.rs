//! Baseline of a server's latency.

use crate::Millis;

/// A sample counts as at most this many times the baseline. With a span of 64 samples, eight slow
/// requests then raise the baseline by at most an eighth, so that they still count as slow, and it
/// doubles after about 45.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

/// Smallest sample, in milliseconds, for servers that respond within the clock's resolution.
const MIN_BASELINE_MS: f64 = 1.0;

/// Moving average of latencies that limits the effect of outliers.
#[derive(Clone, Copy, Debug)]
pub struct LatencyBaseline {
    span: u32,
    count: u32,
    mean_ms: f64,
}

impl LatencyBaseline {
    /// Creates a baseline over about the latest `span` samples.
    pub fn new(span: u32) -> LatencyBaseline {
        LatencyBaseline {
            span: span.max(1),
            count: 0,
            mean_ms: 0.0,
        }
    }

    /// Adds the latency of a successful request.
    pub fn record(&mut self, latency: Millis) {
        let sample = (latency.0 as f64).max(MIN_BASELINE_MS);
        let clipped = match self.mean_ms() {
            Some(mean) => sample.min(mean * MAX_SAMPLE_FACTOR),
            None => sample,
        };
        self.count = (self.count + 1).min(self.span);
        self.mean_ms += (clipped - self.mean_ms) / f64::from(self.count);
    }

    /// Returns the baseline in milliseconds, or `None` before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms)
    }

    /// Returns whether `latency` is more than `factor` times the baseline; `false` before the first
    /// sample.
    pub fn is_exceeded(&self, latency: Millis, factor: f64) -> bool {
        self.mean_ms()
            .is_some_and(|mean| latency.0 as f64 > mean * factor)
    }
}
