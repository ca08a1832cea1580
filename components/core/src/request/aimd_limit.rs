//! Adaptive limit with additive increase and multiplicative decrease.

use super::{
    LatencyNorm,
    RequestOutcome,
    RequestResult, //
};
use crate::Millis;

/// Growth by one round of successes. Growth by one outran the decreases: on a server that bears 6
/// of 14 slots, the limit stayed near 10 and goodput at 0.6 of what it bears instead of 0.75.
const GROWTH: f64 = 0.2;

/// Factor of one decrease.
const DECREASE: f64 = 0.9;

/// Latency above this many times the norm counts as a sign of overload.
const SLOW_FACTOR: f64 = 3.0;

/// Signs of overload among the latest eight results that decrease the limit. A single one is
/// ordinary noise, which would keep a large limit well below the slots.
const OVERLOAD_SIGNS: u32 = 2;

/// Samples of the norm. Over a short span, the latency of an overloaded server becomes its norm.
const NORM_SPAN: u32 = 1_000;

/// Shortest time between two decreases, so that requests that were in flight together count once.
const CUT_INTERVAL_MS: f64 = 100.0;

/// Limit that grows by a fifth after `limit` successes and shrinks by a tenth on overload.
#[derive(Clone, Debug)]
pub struct AimdLimit {
    limit: f64,
    norm: LatencyNorm,
    signs: u8,
    last_cut: Option<Millis>,
}

impl AimdLimit {
    /// Creates a limit that starts at `slots`.
    pub fn new(slots: u32) -> AimdLimit {
        AimdLimit {
            limit: f64::from(slots.max(1)),
            norm: LatencyNorm::new(NORM_SPAN),
            signs: 0,
            last_cut: None,
        }
    }

    /// Returns the limit, rounded so that one decrease doesn't halve a limit of two.
    pub fn limit(&self) -> u32 {
        (self.limit.round() as u32).max(1)
    }

    /// Takes a result into account; `in_flight` counts the requests before this one ended.
    pub fn record(&mut self, now: Millis, slots: u32, in_flight: u32, result: RequestResult) {
        if result.outcome == RequestOutcome::Abandoned {
            return;
        }
        let slow = self.norm.is_exceeded(result.latency, SLOW_FACTOR);
        let sign = result.outcome.is_failure() || slow;
        self.signs = (self.signs << 1) | u8::from(sign);
        if sign && self.signs.count_ones() >= OVERLOAD_SIGNS {
            self.decrease(now);
        } else if !sign && f64::from(in_flight) * 2.0 >= self.limit {
            // An unused limit doesn't grow: the result says nothing about a higher one.
            self.limit += GROWTH / self.limit;
        }
        self.limit = self.limit.clamp(1.0, f64::from(slots.max(1)));
        if !result.outcome.is_failure() {
            self.norm.record(result.latency);
        }
    }

    fn decrease(&mut self, now: Millis) {
        let pause = self.norm.mean_ms().unwrap_or(0.0).max(CUT_INTERVAL_MS);
        let due = |last: Millis| now.since(last).0 as f64 >= pause;
        if self.last_cut.is_none_or(due) {
            self.limit *= DECREASE;
            self.last_cut = Some(now);
        }
    }
}
