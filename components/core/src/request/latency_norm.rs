//! Usual latency of a server.

use crate::Millis;

/// A sample counts as at most this many times the norm. Over a span of 64, the norm then grows by at
/// most an eighth over eight slow requests, which are still seen as slow, and doubles after about
/// 45.
const CLIP: f64 = 2.0;

/// Norm of a server that responds within the clock's resolution, in milliseconds.
const FLOOR_MS: f64 = 1.0;

/// Moving average of latencies that outliers hardly move.
#[derive(Clone, Copy, Debug)]
pub struct LatencyNorm {
    span: u32,
    count: u32,
    mean_ms: f64,
}

impl LatencyNorm {
    /// Creates a norm over about the latest `span` samples.
    pub fn new(span: u32) -> LatencyNorm {
        LatencyNorm {
            span: span.max(1),
            count: 0,
            mean_ms: 0.0,
        }
    }

    /// Adds the latency of a successful request.
    pub fn record(&mut self, latency: Millis) {
        let sample = (latency.0 as f64).max(FLOOR_MS);
        let clipped = match self.mean_ms() {
            Some(mean) => sample.min(mean * CLIP),
            None => sample,
        };
        self.count = (self.count + 1).min(self.span);
        self.mean_ms += (clipped - self.mean_ms) / f64::from(self.count);
    }

    /// Returns the norm in milliseconds, or `None` before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.count > 0).then_some(self.mean_ms)
    }

    /// Returns whether `latency` is more than `factor` times the norm.
    pub fn is_exceeded(&self, latency: Millis, factor: f64) -> bool {
        self.mean_ms()
            .is_some_and(|mean| latency.0 as f64 > mean * factor)
    }
}
