//! Results of a load run.

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

/// Latencies of correct responses, in milliseconds.
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
    /// Summarises a histogram whose values are in microseconds.
    pub(crate) fn of(histogram: &Histogram<u64>) -> LatencySummary {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        LatencySummary {
            p50: at(0.5),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

/// Results of a load run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LoadReport {
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// Requests; each is counted once, however often it was retried.
    pub requests: u64,
    /// Requests with a correct response.
    pub succeeded: u64,
    /// Those of them whose runs the server counts.
    #[serde(default)]
    pub recorded: u64,
    /// Requests without a response after all attempts, including those of unknown outcome.
    pub failed: u64,
    /// Failed requests by the error of their last attempt.
    pub failed_by_cause: Vec<NamedCount>,
    /// Attempts that were refused without being run.
    pub refused_not_run: u64,
    /// Requests that may have run, but got no response and must not be retried.
    pub unknown: u64,
    /// Responses whose body differs from the expected one.
    pub wrong_answers: u64,
    /// Descriptions of some wrong responses; at most 8.
    pub wrong_examples: Vec<CompactString>,
    /// Retries: attempts after the first of each request.
    pub repeats: u64,
    /// Flows that were opened.
    pub flows_opened: u64,
    /// Flows that ended unexpectedly.
    pub flows_broken: u64,
    /// The first broken flows; at most 1000.
    pub broken_flows: Vec<BrokenFlow>,
    /// Failed attempts to open a flow, by error.
    pub connects_failed: Vec<NamedCount>,
    /// Latencies of correct responses, from the due time of the request.
    pub latency_ms: LatencySummary,
    /// Correct responses in each second of the run.
    pub goodput_per_s: Vec<u64>,
    /// Body bytes of correct responses in each second of the run.
    pub goodput_bytes_per_s: Vec<u64>,
    /// Correct responses by backend server.
    pub targets: Vec<NamedCount>,
    /// Largest count in `targets` divided by their mean; 0 if no response named its server.
    pub imbalance: f64,
}

impl LoadReport {
    /// Returns whether no response was wrong; failed requests don't count.
    pub fn is_correct(&self) -> bool {
        self.wrong_answers == 0
    }
}

/// Returns the largest count divided by the mean, or 0 for an empty list.
pub(crate) fn imbalance_of(targets: &[NamedCount]) -> f64 {
    let total: u64 = targets.iter().map(|target| target.count).sum();
    let largest = targets.iter().map(|target| target.count).max();
    match largest {
        Some(largest) if total > 0 => largest as f64 * targets.len() as f64 / total as f64,
        _ => 0.0,
    }
}
