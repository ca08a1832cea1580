//! What a run found.

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::process::{
    BrokenFlow,
    NamedCount, //
};

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Latencies of correct answers, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest.
    pub max: f64,
}

impl LatencySummary {
    /// Summarises a histogram of microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> LatencySummary {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        LatencySummary {
            p50: at(0.5),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

/// What a run found.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Requests, each counted once however often it was repeated.
    pub requests: u64,
    /// Requests with a correct answer.
    pub succeeded: u64,
    /// Requests without an answer after all attempts, including those of unknown outcome.
    pub failed: u64,
    /// Failed requests by the cause of the last attempt.
    pub failed_by_cause: Vec<NamedCount>,
    /// Attempts that were refused without being run.
    pub refused_not_run: u64,
    /// Requests that may have run without an answer and must not be repeated.
    pub unknown: u64,
    /// Answers that differ from what the request must produce.
    pub wrong_answers: u64,
    /// The first wrong answers.
    pub wrong_examples: Vec<CompactString>,
    /// Attempts after the first.
    pub repeats: u64,
    /// Flows that were opened.
    pub flows_opened: u64,
    /// Flows that ended although nobody asked for it.
    pub flows_broken: u64,
    /// The first broken flows.
    pub broken_flows: Vec<BrokenFlow>,
    /// Failed attempts to open a flow, by cause.
    pub connects_failed: Vec<NamedCount>,
    /// Latencies of correct answers, from the due time of the request.
    pub latency_ms: LatencySummary,
    /// Correct answers in each second of the run.
    pub goodput_per_s: Vec<u64>,
    /// Bytes of correct answers in each second of the run.
    pub goodput_bytes_per_s: Vec<u64>,
    /// Correct answers by backend server.
    pub targets: Vec<NamedCount>,
    /// Largest count over the mean of the servers that answered; 0 without named servers.
    pub imbalance: f64,
}

impl LoadReport {
    /// Returns whether no answer was wrong.
    pub fn is_correct(&self) -> bool {
        self.wrong_answers == 0
    }
}

/// Returns the largest count over the mean, or 0 for an empty list.
pub(crate) fn imbalance_of(targets: &[NamedCount]) -> f64 {
    let total: u64 = targets.iter().map(|target| target.count).sum();
    let largest = targets.iter().map(|target| target.count).max();
    match largest {
        Some(largest) if total > 0 => largest as f64 * targets.len() as f64 / total as f64,
        _ => 0.0,
    }
}
