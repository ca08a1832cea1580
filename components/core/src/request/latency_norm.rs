//! Usual latency of a server.

use crate::Millis;

/// Weight of one sample.
const WEIGHT: f64 = 1.0 / 64.0;

/// A sample counts as at most this many times the norm. The norm then grows by at most an eighth
/// over eight slow requests, which are still seen as slow, and doubles after about 45.
const CLIP: f64 = 2.0;

/// Norm of a server that responds within the clock's resolution, in milliseconds.
const FLOOR_MS: f64 = 1.0;

/// Moving average of latencies that outliers hardly move.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyNorm {
    mean_ms: Option<f64>,
}

impl LatencyNorm {
    /// Adds the latency of a successful request.
    pub fn record(&mut self, latency: Millis) {
        let sample = (latency.0 as f64).max(FLOOR_MS);
        let mean = self.mean_ms.unwrap_or(sample);
        let clipped = sample.min(mean * CLIP);
        self.mean_ms = Some(mean + WEIGHT * (clipped - mean));
    }

    /// Returns the norm in milliseconds, or `None` before the first sample.
    pub fn mean_ms(&self) -> Option<f64> {
        self.mean_ms
    }

    /// Returns whether `latency` is more than `factor` times the norm.
    pub fn is_exceeded(&self, latency: Millis, factor: f64) -> bool {
        self.mean_ms
            .is_some_and(|mean| latency.0 as f64 > mean * factor)
    }
}
