//! Warm-up of a server that may be cold: slow start of its concurrency limit.

use super::{
    LatencyBaseline,
    RequestOutcome,
    RequestResult, //
};

/// Latency above this many times the baseline is a sign that the server is cold.
const COLD_LATENCY_FACTOR: f64 = 4.0;

/// Samples that the latency baseline covers.
const BASELINE_SAMPLES: u32 = 64;

/// Number of latest results from which a cold server is detected.
const HISTORY_BITS: u32 = 12;

const HISTORY_MASK: u16 = (1 << HISTORY_BITS) - 1;

/// Failures among the latest results from which the warm-up restarts. With 3% of random failures,
/// this happens by chance once in three thousand million requests; six of eight would happen once
/// in 50 million, or every few days on a busy server.
const RESTART_FAILURES: u32 = 8;

/// Slow or failed requests among the latest results from which the warm-up restarts. Where one
/// request in ten is slow by nature and 3% fail, this happens by chance once in tens of thousands
/// of millions of requests; eight of eight would happen once in 15 million.
const RESTART_SLOW_OR_FAILED: u32 = HISTORY_BITS;

/// Connection resets among the latest results from which the warm-up restarts. A server may reset
/// one idle connection in ordinary operation.
const RESTART_RESETS: u32 = 2;

/// Factor by which a failure during warm-up multiplies the successes needed to raise the limit.
const BACKOFF_GROWTH: u32 = 4;

/// Divisor that each raise of the limit applies to the successes needed for the next one.
const BACKOFF_DECAY: u32 = 2;

/// Largest factor on the successes needed to raise the limit.
const MAX_BACKOFF: u32 = 16;

/// Rounds of `slots` successes at the full limit after which the warm-up ends.
const FULL_LIMIT_ROUNDS: u32 = 4;

/// Results after which the warm-up ends in any case. Otherwise, a server that fails a constant
/// share of its requests for another reason than load would be limited forever.
const MAX_WARMUP_RESULTS: u32 = 1_000;

/// How the limit of a server grows during warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RampGrowth {
    /// The limit grows by one after `limit` successes, regardless of failures in between.
    BySuccess,
    /// In addition, each failure during warm-up lowers the limit by one, and more successes are
    /// needed to raise it again.
    #[default]
    WithBackoff,
}

/// Limit of a server that starts at one request in flight and grows with its successes.
///
/// Results count only if their request started after the latest restart, which the epoch shows.
#[derive(Clone, Debug)]
pub struct WarmupRamp {
    growth: RampGrowth,
    allowed: u32,
    successes: u32,
    backoff: u32,
    results: u32,
    warming: bool,
    epoch: u32,
    baseline: LatencyBaseline,
    slow_or_failed: u16,
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
            backoff: 1,
            results: 0,
            warming: true,
            epoch: 0,
            baseline: LatencyBaseline::new(BASELINE_SAMPLES),
            slow_or_failed: 0,
            failures: 0,
            resets: 0,
        }
    }

    /// Returns how many requests the warm-up allows in flight.
    pub fn allowed(&self) -> u32 {
        self.allowed
    }

    /// Returns the latency baseline of the server.
    pub fn baseline(&self) -> LatencyBaseline {
        self.baseline
    }

    /// Returns the epoch, which each restart increments.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// Restarts at one request in flight; also to be called when another instance of the server has
    /// started.
    pub fn restart(&mut self) {
        self.allowed = 1;
        self.successes = 0;
        self.results = 0;
        self.warming = true;
        self.slow_or_failed = 0;
        self.failures = 0;
        self.resets = 0;
        self.epoch = self.epoch.wrapping_add(1);
    }

    /// Adjusts the limit to the result of a request that started in `epoch`.
    pub fn record(&mut self, slots: u32, epoch: u32, result: RequestResult) {
        if epoch != self.epoch || result.outcome == RequestOutcome::Abandoned {
            return;
        }
        let slow = self
            .baseline
            .is_exceeded(result.latency, COLD_LATENCY_FACTOR);
        let reset = result.outcome == RequestOutcome::ConnectionReset;
        push(
            &mut self.slow_or_failed,
            slow || result.outcome.is_failure(),
        );
        push(&mut self.failures, result.outcome.is_failure());
        push(&mut self.resets, reset);
        self.count_result();
        if self.is_cold(result.outcome) {
            self.restart();
        } else if result.outcome.is_failure() {
            self.step_back();
        } else {
            self.grow(slots);
            self.baseline.record(result.latency);
        }
    }

    fn is_cold(&self, outcome: RequestOutcome) -> bool {
        outcome == RequestOutcome::ConnectionRefused
            || self.resets.count_ones() >= RESTART_RESETS
            || self.failures.count_ones() >= RESTART_FAILURES
            || self.slow_or_failed.count_ones() >= RESTART_SLOW_OR_FAILED
    }

    fn step_back(&mut self) {
        if self.growth == RampGrowth::BySuccess || !self.warming {
            return;
        }
        self.allowed = (self.allowed - 1).max(1);
        self.successes = 0;
        self.backoff = (self.backoff * BACKOFF_GROWTH).min(MAX_BACKOFF);
    }

    fn grow(&mut self, slots: u32) {
        self.successes += 1;
        if self.allowed >= slots {
            if self.warming && self.successes >= FULL_LIMIT_ROUNDS * slots {
                self.end_warmup();
            }
            return;
        }
        if self.successes >= self.allowed * self.backoff {
            self.allowed += 1;
            self.successes = 0;
            self.backoff = (self.backoff / BACKOFF_DECAY).max(1);
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
        self.backoff = 1;
    }
}

impl Default for WarmupRamp {
    fn default() -> WarmupRamp {
        WarmupRamp::new(RampGrowth::default())
    }
}

/// Appends the latest result to a history of [`HISTORY_BITS`] results, dropping the oldest.
fn push(history: &mut u16, bit: bool) {
    *history = ((*history << 1) | u16::from(bit)) & HISTORY_MASK;
}
