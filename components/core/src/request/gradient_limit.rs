//! Adaptive limit that follows the ratio of long-term to short-term latency.

use super::{
    LatencyNorm,
    RequestOutcome,
    RequestResult, //
};

/// Samples of the long-term latency.
const NORM_SPAN: u32 = 1_000;

/// Weight of one sample in the short-term latency.
const SHORT_WEIGHT: f64 = 0.2;

/// Weight of one new estimate in the limit.
const SMOOTHING: f64 = 0.2;

/// Short-term latency up to this many times the long-term one leaves the limit alone.
const TOLERANCE: f64 = 1.5;

/// Smallest gradient, also taken for failures, whose latency says nothing.
const MIN_GRADIENT: f64 = 0.5;

/// Limit that shrinks in proportion as latency rises above its norm.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    limit: f64,
    norm: LatencyNorm,
    short_ms: Option<f64>,
}

impl GradientLimit {
    /// Creates a limit that starts at `slots`.
    pub fn new(slots: u32) -> GradientLimit {
        GradientLimit {
            limit: f64::from(slots.max(1)),
            norm: LatencyNorm::new(NORM_SPAN),
            short_ms: None,
        }
    }

    /// Returns the limit.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Takes a result into account; `in_flight` counts the requests before this one ended.
    pub fn record(&mut self, slots: u32, in_flight: u32, result: RequestResult) {
        if result.outcome == RequestOutcome::Abandoned {
            return;
        }
        let gradient = self.gradient_of(result);
        let used = f64::from(in_flight) * 2.0 >= self.limit;
        if gradient < 1.0 || used {
            let target = self.limit * gradient + self.headroom(result);
            self.limit += SMOOTHING * (target - self.limit);
        }
        self.limit = self.limit.clamp(1.0, f64::from(slots.max(1)));
    }

    /// Returns the growth of the estimate; a failure gets none, or the limit couldn't fall below 4.
    fn headroom(&self, result: RequestResult) -> f64 {
        if result.outcome.is_failure() {
            return 0.0;
        }
        self.limit.sqrt()
    }

    fn gradient_of(&mut self, result: RequestResult) -> f64 {
        if result.outcome.is_failure() {
            return MIN_GRADIENT;
        }
        self.norm.record(result.latency);
        let sample = (result.latency.0 as f64).max(1.0);
        let short = self.short_ms.unwrap_or(sample);
        let short = short + SHORT_WEIGHT * (sample - short);
        self.short_ms = Some(short);
        let norm = self.norm.mean_ms().unwrap_or(sample);
        (TOLERANCE * norm / short).clamp(MIN_GRADIENT, 1.0)
    }
}
