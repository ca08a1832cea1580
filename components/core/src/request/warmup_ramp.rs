//! Warm-up of a server that may be cold.

use super::{
    LatencyNorm,
    RequestOutcome,
    RequestResult, //
};

/// Latency above this many times the norm is a sign of coldness.
const COLD_FACTOR: f64 = 4.0;

/// Samples of the usual latency.
const NORM_SPAN: u32 = 64;

/// Number of latest results that are judged together.
const HISTORY_BITS: u32 = 12;

const HISTORY_MASK: u16 = (1 << HISTORY_BITS) - 1;

/// Failures among the latest results that restart the warm-up. With 3% of failures at random, this
/// happens by chance once in three thousand million requests; six of eight would do once in 50
/// million, or every few days on a busy server.
const FAILURE_SIGNS: u32 = 8;

/// Slow or failed requests among the latest results that restart the warm-up. Where one request in
/// ten is slow by nature and 3% fail, this happens by chance once in tens of thousands of millions;
/// eight of eight would do once in 15 million.
const COLD_SIGNS: u32 = HISTORY_BITS;

/// Resets among the latest results that restart the warm-up. A server may reset one idle connection
/// in ordinary operation.
const RESET_SIGNS: u32 = 2;

/// Factor of the successes that the next step needs, after a failure during warm-up.
const PATIENCE_GROWTH: u32 = 4;

/// Divisor of the successes that the next step needs, after a step.
const PATIENCE_DECAY: u32 = 2;

/// Most that the successes of a step are multiplied by.
const MAX_PATIENCE: u32 = 16;

/// Rounds of successes at the full limit that end the warm-up.
const SETTLE_ROUNDS: u32 = 4;

/// Results that end the warm-up at the latest. A server that fails a constant share of its requests
/// for another reason than load would be held back without end.
const MAX_WARMUP_RESULTS: u32 = 1_000;

/// Rule by which the limit of a server in warm-up grows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RampGrowth {
    /// The limit grows by one after `limit` successes, whatever fails in between.
    BySuccess,
    /// In addition, each failure during warm-up takes the last step back, and the next steps need
    /// more successes.
    #[default]
    Patient,
}

/// Limit of a server that starts at one request in flight and grows with its successes.
///
/// Results count only if their request started after the latest restart; the epoch tells.
#[derive(Clone, Debug)]
pub struct WarmupRamp {
    growth: RampGrowth,
    allowed: u32,
    successes: u32,
    patience: u32,
    results: u32,
    warming: bool,
    epoch: u32,
    norm: LatencyNorm,
    signs: u16,
    failures: u16,
    resets: u16,
}

impl WarmupRamp {
    /// Creates the ramp of a cold server.
    pub fn new(growth: RampGrowth) -> WarmupRamp {
        WarmupRamp {
            growth,
            allowed: 1,
            successes: 0,
            patience: 1,
            results: 0,
            warming: true,
            epoch: 0,
            norm: LatencyNorm::new(NORM_SPAN),
            signs: 0,
            failures: 0,
            resets: 0,
        }
    }

    /// Returns the requests that the server may have in flight, as far as warmth is concerned.
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Returns the usual latency of the server.
    pub fn norm(&self) -> LatencyNorm {
        self.norm
    }

    /// Returns the number of restarts so far.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Starts again at one request in flight; also called when the server's instance changes.
    pub fn restart(&mut self) {
        self.allowed = 1;
        self.successes = 0;
        self.results = 0;
        self.warming = true;
        self.signs = 0;
        self.failures = 0;
        self.resets = 0;
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Takes the result of a request into account that started at `epoch`.
    pub fn record(&mut self, slots: u32, epoch: u32, result: RequestResult) {
        if epoch != self.epoch || result.outcome == RequestOutcome::Abandoned {
            return;
        }
        let slow = self.norm.is_exceeded(result.latency, COLD_FACTOR);
        let reset = result.outcome == RequestOutcome::ConnectionReset;
        push(&mut self.signs, slow || result.outcome.is_failure());
        push(&mut self.failures, result.outcome.is_failure());
        push(&mut self.resets, reset);
        self.count_result();
        if self.is_cold(result.outcome) {
            self.restart();
        } else if result.outcome.is_failure() {
            self.step_back();
        } else {
            self.grow(slots);
            self.norm.record(result.latency);
        }
    }

    fn is_cold(&self, outcome: RequestOutcome) -> bool {
        outcome == RequestOutcome::ConnectionRefused
            || self.resets.count_ones() >= RESET_SIGNS
            || self.failures.count_ones() >= FAILURE_SIGNS
            || self.signs.count_ones() >= COLD_SIGNS
    }

    fn step_back(&mut self) {
        if self.growth == RampGrowth::BySuccess || !self.warming {
            return;
        }
        self.allowed = (self.allowed - 1).max(1);
        self.successes = 0;
        self.patience = (self.patience * PATIENCE_GROWTH).min(MAX_PATIENCE);
    }

    fn grow(&mut self, slots: u32) {
        self.successes += 1;
        if self.allowed >= slots {
            if self.warming && self.successes >= SETTLE_ROUNDS * slots {
                self.end_warmup();
            }
            return;
        }
        if self.successes >= self.allowed * self.patience {
            self.allowed += 1;
            self.successes = 0;
            self.patience = (self.patience / PATIENCE_DECAY).max(1);
        }
    }

    fn count_result(&mut self) {
        self.results = self.results.saturating_add(1);
        if self.warming && self.results >= MAX_WARMUP_RESULTS {
            self.end_warmup();
        }
    }

    fn end_warmup(&mut self) {
        self.warming = false;
        self.successes = 0;
        self.patience = 1;
    }
}

impl Default for WarmupRamp {
    fn default() -> WarmupRamp {
        WarmupRamp::new(RampGrowth::default())
    }
}

/// Adds the latest result to a history of [`HISTORY_BITS`].
fn push(history: &mut u16, sign: bool) {
    *history = ((*history << 1) | u16::from(sign)) & HISTORY_MASK;
}
