//! Results of one worker of a load run.

use std::time::Duration;

use compact_str::CompactString;
use hdrhistogram::Histogram;

use crate::process::{
    flow_log::FlowCounts,
    load_report::{
        imbalance_of,
        LatencySummary,
        LoadReport, //
    },
    NamedCount, //
};

/// Longest latency that the histogram represents, in microseconds; longer ones are counted as this
/// one.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Most wrong responses that are described individually.
const MAX_WRONG_EXAMPLES: usize = 8;

/// Results of one worker, or of several merged ones.
pub(crate) struct LoadTally {
    /// Requests; each is counted once, however often it was retried.
    pub(crate) requests: u64,
    /// Attempts that were refused without being run.
    pub(crate) refused: u64,
    /// Requests of unknown outcome.
    pub(crate) unknown: u64,
    /// Retries: attempts after the first of each request.
    pub(crate) repeats: u64,
    /// Correct responses to requests whose runs the server counts.
    pub(crate) recorded: u64,
    succeeded: u64,
    failed: Vec<NamedCount>,
    wrong: u64,
    wrong_examples: Vec<CompactString>,
    targets: Vec<NamedCount>,
    latency: Histogram<u64>,
    responses: Vec<u64>,
    bytes: Vec<u64>,
}

impl LoadTally {
    /// Creates an empty tally.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants that the library allows.
    pub(crate) fn new() -> LoadTally {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        LoadTally {
            requests: 0,
            refused: 0,
            unknown: 0,
            repeats: 0,
            recorded: 0,
            succeeded: 0,
            failed: Vec::new(),
            wrong: 0,
            wrong_examples: Vec::new(),
            targets: Vec::new(),
            latency: latency.expect("constant bounds are valid"),
            responses: Vec::new(),
            bytes: Vec::new(),
        }
    }

    /// Records a correct response of `len` bytes that was received `second` seconds into the run.
    pub(crate) fn record_success(&mut self, latency: Duration, second: usize, len: usize) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.succeeded += 1;
        self.latency.saturating_record(micros.max(1));
        if self.responses.len() <= second {
            self.responses.resize(second + 1, 0);
            self.bytes.resize(second + 1, 0);
        }
        self.responses[second] += 1;
        self.bytes[second] += len as u64;
    }

    /// Counts a correct response of a backend server.
    pub(crate) fn record_target(&mut self, target: &str) {
        NamedCount::add_to(&mut self.targets, target, 1);
    }

    /// Counts a request without a response after all attempts, by the label of its last error.
    pub(crate) fn record_failure(&mut self, label: &str) {
        NamedCount::add_to(&mut self.failed, label, 1);
    }

    /// Counts a wrong response; describes the first ones.
    pub(crate) fn record_mismatch(&mut self, mismatch: CompactString) {
        self.wrong += 1;
        if self.wrong_examples.len() < MAX_WRONG_EXAMPLES {
            self.wrong_examples.push(mismatch);
        }
    }

    /// Adds the results of another worker.
    pub(crate) fn merge(&mut self, other: &LoadTally) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.repeats += other.repeats;
        self.recorded += other.recorded;
        self.succeeded += other.succeeded;
        self.wrong += other.wrong;
        NamedCount::merge_into(&mut self.failed, &other.failed);
        NamedCount::merge_into(&mut self.targets, &other.targets);
        let remaining = MAX_WRONG_EXAMPLES - self.wrong_examples.len();
        self.wrong_examples
            .extend(other.wrong_examples.iter().take(remaining).cloned());
        // Adding can't fail, because both histograms have the same bounds.
        let _ = self.latency.add(&other.latency);
        add_elementwise(&mut self.responses, &other.responses);
        add_elementwise(&mut self.bytes, &other.bytes);
    }

    /// Builds the report of a run that took `elapsed`.
    pub(crate) fn report(self, elapsed: Duration, flows: FlowCounts) -> LoadReport {
        LoadReport {
            seconds: elapsed.as_secs_f64(),
            requests: self.requests,
            succeeded: self.succeeded,
            recorded: self.recorded,
            failed: self.failed.iter().map(|cause| cause.count).sum(),
            failed_by_cause: self.failed,
            refused_not_run: self.refused,
            unknown: self.unknown,
            wrong_answers: self.wrong,
            wrong_examples: self.wrong_examples,
            repeats: self.repeats,
            flows_opened: flows.opened,
            flows_broken: flows.broken,
            broken_flows: flows.listed,
            connects_failed: flows.connects_failed,
            latency_ms: LatencySummary::of(&self.latency),
            goodput_per_s: self.responses,
            goodput_bytes_per_s: self.bytes,
            imbalance: imbalance_of(&self.targets),
            targets: self.targets,
        }
    }
}

fn add_elementwise(sums: &mut Vec<u64>, counts: &[u64]) {
    if sums.len() < counts.len() {
        sums.resize(counts.len(), 0);
    }
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum += count;
    }
}
