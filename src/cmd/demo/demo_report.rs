//! Results of the demo.

use carobdrum_caller::{
    BrokenFlow,
    LatencySummary,
    LoadReport,
    NamedCount, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use serde::Serialize;

use crate::cmd::{
    demo::{
        demo_script::ScriptOutcome,
        demo_tables::EVACUATED_CENTRE, //
    },
    load::load_text,
};

/// Results of the demo; its fields are the keys of the JSON output.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DemoReport {
    /// Requests; each is counted once, however often it was retried.
    pub(super) requests: u64,
    /// Requests with a correct response.
    pub(super) succeeded: u64,
    /// Requests without a response after all attempts.
    pub(super) failed: u64,
    /// Failed requests by the error of their last attempt.
    pub(super) failed_by_cause: Vec<NamedCount>,
    /// Attempts that were refused without being run.
    pub(super) refused_not_run: u64,
    /// Requests that may have run, but got no response.
    pub(super) unknown: u64,
    /// Responses whose body differs from the expected one.
    pub(super) wrong_answers: u64,
    /// Flows that were opened.
    pub(super) flows_opened: u64,
    /// Flows that broke, except those in `flows_given_up`.
    pub(super) flows_broken: usize,
    /// Flows that ended in the evacuated data centre during its evacuation.
    pub(super) flows_given_up: usize,
    /// Latencies of correct responses, in milliseconds.
    pub(super) latency_ms: LatencySummary,
    /// Correct responses in each second of the load.
    pub(super) goodput_per_s: Vec<u64>,
    /// Largest time-weighted load of a server divided by the mean, before the evacuation.
    pub(super) imbalance: f64,
    /// Longest time from an edit until it was in force at all processes, in milliseconds.
    pub(super) config_in_force_ms: u64,
    #[serde(skip)]
    load: CompactString,
    /// The broken flows; `target` is empty if no agent had accepted a flow yet.
    broken: Vec<BrokenFlow>,
}

impl DemoReport {
    /// Combines the results of the load and of the script.
    pub(super) fn new(load: LoadReport, outcome: ScriptOutcome) -> DemoReport {
        let text = load_text(&load);
        let (given_up, broken): (Vec<_>, Vec<_>) = load
            .broken_flows
            .into_iter()
            .partition(|flow| ended_by_evacuation(flow, &outcome));
        DemoReport {
            requests: load.requests,
            succeeded: load.succeeded,
            failed: load.failed,
            failed_by_cause: load.failed_by_cause,
            refused_not_run: load.refused_not_run,
            unknown: load.unknown,
            wrong_answers: load.wrong_answers,
            flows_opened: load.flows_opened,
            flows_broken: broken.len(),
            flows_given_up: given_up.len(),
            latency_ms: load.latency_ms,
            goodput_per_s: load.goodput_per_s,
            imbalance: outcome.imbalance,
            config_in_force_ms: outcome.in_force.as_millis() as u64,
            load: text,
            broken,
        }
    }

    /// Returns a text summary.
    pub(super) fn text(&self) -> CompactString {
        let mut text = self.load.clone();
        text.push_str(&format_compact!(
            "{EVACUATED_CENTRE} evacuated and restored: {} flows ended there, {} broke elsewhere\n",
            self.flows_given_up,
            self.flows_broken,
        ));
        for flow in &self.broken {
            text.push_str(&format_compact!(
                "broken after {} ms at {:?}: {}\n",
                flow.at_ms,
                flow.target,
                flow.cause,
            ));
        }
        text.push_str(&format_compact!(
            "edits in force at all processes after at most {} ms\n",
            self.config_in_force_ms,
        ));
        text.push_str(&format_compact!(
            "load of the busiest server divided by the mean: {:.2}\n",
            self.imbalance,
        ));
        text
    }
}

/// Returns whether a flow ended in the evacuated data centre during its evacuation.
fn ended_by_evacuation(flow: &BrokenFlow, outcome: &ScriptOutcome) -> bool {
    let was_evacuated = (outcome.evacuated_at.as_millis()..=outcome.restored_at.as_millis())
        .contains(&u128::from(flow.at_ms));
    was_evacuated && flow.target.starts_with(EVACUATED_CENTRE)
}
