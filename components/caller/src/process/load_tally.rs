//! Counts of one worker of a run.

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

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 3_600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// Most wrong answers that are described one by one.
const LISTED_FAULTS: usize = 8;

/// Counts of one worker.
pub(crate) struct LoadTally {
    /// Requests that were started.
    pub(crate) requests: u64,
    /// Attempts that were refused without being run.
    pub(crate) refused: u64,
    /// Requests of unknown outcome.
    pub(crate) unknown: u64,
    /// Attempts after the first.
    pub(crate) repeats: u64,
    succeeded: u64,
    failed: Vec<NamedCount>,
    wrong: u64,
    faults: Vec<CompactString>,
    targets: Vec<NamedCount>,
    latency: Histogram<u64>,
    answers: Vec<u64>,
    bytes: Vec<u64>,
}

impl LoadTally {
    /// Creates a tally without counts.
    ///
    /// # Panics
    ///
    /// Never: the bounds of the histogram are constants within what the library allows.
    pub(crate) fn new() -> LoadTally {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        LoadTally {
            requests: 0,
            refused: 0,
            unknown: 0,
            repeats: 0,
            succeeded: 0,
            failed: Vec::new(),
            wrong: 0,
            faults: Vec::new(),
            targets: Vec::new(),
            latency: latency.expect("constant bounds are valid"),
            answers: Vec::new(),
            bytes: Vec::new(),
        }
    }

    /// Notes a correct answer of `len` bytes that came `second` seconds into the run.
    pub(crate) fn succeeded(&mut self, latency: Duration, second: usize, len: usize) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.succeeded += 1;
        self.latency.saturating_record(micros.max(1));
        if self.answers.len() <= second {
            self.answers.resize(second + 1, 0);
            self.bytes.resize(second + 1, 0);
        }
        self.answers[second] += 1;
        self.bytes[second] += len as u64;
    }

    /// Notes the backend server of a correct answer.
    pub(crate) fn answered_by(&mut self, target: &str) {
        NamedCount::add_to(&mut self.targets, target, 1);
    }

    /// Notes a request that has no answer after all attempts.
    pub(crate) fn failed(&mut self, label: &str) {
        NamedCount::add_to(&mut self.failed, label, 1);
    }

    /// Notes a wrong answer.
    pub(crate) fn wrong(&mut self, fault: CompactString) {
        self.wrong += 1;
        if self.faults.len() < LISTED_FAULTS {
            self.faults.push(fault);
        }
    }

    /// Adds the counts of another worker.
    pub(crate) fn merge(&mut self, other: &LoadTally) {
        self.requests += other.requests;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.repeats += other.repeats;
        self.succeeded += other.succeeded;
        self.wrong += other.wrong;
        NamedCount::merge_into(&mut self.failed, &other.failed);
        NamedCount::merge_into(&mut self.targets, &other.targets);
        let room = LISTED_FAULTS - self.faults.len();
        self.faults.extend(other.faults.iter().take(room).cloned());
        // Both histograms have the same bounds, so adding can't fail.
        let _ = self.latency.add(&other.latency);
        add_each(&mut self.answers, &other.answers);
        add_each(&mut self.bytes, &other.bytes);
    }

    /// Sums up the run.
    pub(crate) fn report(self, lasted: Duration, flows: FlowCounts) -> LoadReport {
        LoadReport {
            seconds: lasted.as_secs_f64(),
            requests: self.requests,
            succeeded: self.succeeded,
            failed: self.failed.iter().map(|cause| cause.count).sum(),
            failed_by_cause: self.failed,
            refused_not_run: self.refused,
            unknown: self.unknown,
            wrong_answers: self.wrong,
            wrong_examples: self.faults,
            repeats: self.repeats,
            flows_opened: flows.opened,
            flows_broken: flows.broken,
            broken_flows: flows.listed,
            connects_failed: flows.connects_failed,
            latency_ms: LatencySummary::of(&self.latency),
            goodput_per_s: self.answers,
            goodput_bytes_per_s: self.bytes,
            imbalance: imbalance_of(&self.targets),
            targets: self.targets,
        }
    }
}

fn add_each(sums: &mut Vec<u64>, counts: &[u64]) {
    if sums.len() < counts.len() {
        sums.resize(counts.len(), 0);
    }
    for (sum, count) in sums.iter_mut().zip(counts) {
        *sum += count;
    }
}
