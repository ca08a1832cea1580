//! Adaptive limit with additive increase and multiplicative decrease.

use super::{
    LatencyBaseline,
    RequestOutcome,
    RequestResult, //
};
use crate::Millis;

/// Increase of the limit after `limit` successes. An increase by one outran the decreases: on a
/// server with 14 slots and capacity for 6 requests, the limit stayed near 10 and goodput at 0.6 of
/// the capacity instead of 0.75.
const INCREASE: f64 = 0.2;

/// Factor that one decrease applies to the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Latency above this many times the baseline is a sign of overload.
const SLOW_FACTOR: f64 = 3.0;

/// Signs of overload among the latest eight results from which the limit is decreased. A single one
/// is ordinary noise, which would keep a large limit well below the slots.
const DECREASE_THRESHOLD: u32 = 2;

/// Samples that the latency baseline covers. With few samples, the latency of an overloaded server
/// would soon become its baseline.
const BASELINE_SAMPLES: u32 = 1_000;

/// Shortest interval between two decreases, so that requests that were in flight together cause
/// only one.
const MIN_DECREASE_INTERVAL_MS: f64 = 100.0;

/// Limit that grows by 0.2 after `limit` successes and shrinks by a tenth on overload.
#[derive(Clone, Debug)]
pub struct AimdLimit {
    limit: f64,
    baseline: LatencyBaseline,
    overload_signs: u8,
    last_decrease: Option<Millis>,
}

impl AimdLimit {
    /// Creates a limit that starts at `slots`.
    pub fn new(slots: u32) -> AimdLimit {
        AimdLimit {
            limit: f64::from(slots.max(1)),
            baseline: LatencyBaseline::new(BASELINE_SAMPLES),
            overload_signs: 0,
            last_decrease: None,
        }
    }

    /// Returns the limit, at least 1. It is rounded, so that one decrease doesn't halve a limit of
    /// two.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Adjusts the limit to a result; `in_flight` includes the request that has just ended.
    pub fn record(&mut self, now: Millis, slots: u32, in_flight: u32, result: RequestResult) {
        if result.outcome == RequestOutcome::Abandoned {
            return;
        }
        let slow = self.baseline.is_exceeded(result.latency, SLOW_FACTOR);
        let is_overload_sign = result.outcome.is_failure() || slow;
        self.overload_signs = (self.overload_signs << 1) | u8::from(is_overload_sign);
        if is_overload_sign && self.overload_signs.count_ones() >= DECREASE_THRESHOLD {
            self.decrease(now);
        } else if !is_overload_sign && f64::from(in_flight) * 2.0 >= self.limit {
            // A limit that isn't used doesn't grow: the result says nothing about a higher one.
            self.limit += INCREASE / self.limit;
        }
        self.limit = self.limit.clamp(1.0, f64::from(slots.max(1)));
        if !result.outcome.is_failure() {
            self.baseline.record(result.latency);
        }
    }

    fn decrease(&mut self, now: Millis) {
        let pause = self
            .baseline
            .mean_ms()
            .unwrap_or(0.0)
            .max(MIN_DECREASE_INTERVAL_MS);
        let due = |last: Millis| now.since(last).0 as f64 >= pause;
        if self.last_decrease.is_none_or(due) {
            self.limit *= DECREASE_FACTOR;
            self.last_decrease = Some(now);
        }
    }
}
