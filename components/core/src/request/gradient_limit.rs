//! Adaptive limit that follows the ratio of long-term to short-term latency.

use super::{
    LatencyBaseline,
    RequestOutcome,
    RequestResult, //
};

/// Samples that the long-term latency covers.
const BASELINE_SAMPLES: u32 = 1_000;

/// Weight of one sample in the short-term latency.
const SHORT_TERM_WEIGHT: f64 = 0.2;

/// Weight of one new estimate in the smoothed limit.
const SMOOTHING: f64 = 0.2;

/// Short-term latency up to this many times the long-term one doesn't lower the limit.
const LATENCY_TOLERANCE: f64 = 1.5;

/// Smallest gradient. It also applies to failures, because their latency says nothing about load.
const MIN_GRADIENT: f64 = 0.5;

/// Limit that shrinks in proportion as the short-term latency rises above the long-term one.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    limit: f64,
    baseline: LatencyBaseline,
    short_term_ms: Option<f64>,
}

impl GradientLimit {
    /// Creates a limit that starts at `slots`.
    pub fn new(slots: u32) -> GradientLimit {
        GradientLimit {
            limit: f64::from(slots.max(1)),
            baseline: LatencyBaseline::new(BASELINE_SAMPLES),
            short_term_ms: None,
        }
    }

    /// Returns the limit, at least 1.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Adjusts the limit to a result; `in_flight` includes the request that has just ended.
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

    /// Returns what is added to the estimate so that the limit can grow. It is zero for a failure;
    /// otherwise the limit couldn't fall below 4.
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
        self.baseline.record(result.latency);
        let sample = (result.latency.0 as f64).max(1.0);
        let short = self.short_term_ms.unwrap_or(sample);
        let short = short + SHORT_TERM_WEIGHT * (sample - short);
        self.short_term_ms = Some(short);
        let baseline = self.baseline.mean_ms().unwrap_or(sample);
        (LATENCY_TOLERANCE * baseline / short).clamp(MIN_GRADIENT, 1.0)
    }
}
