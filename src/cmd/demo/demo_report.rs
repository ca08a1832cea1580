//! What the demonstration found.

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
        demo_tables::OUT_CENTRE, //
    },
    load::load_text,
};

/// What the demonstration found.
#[derive(Clone, Debug, Serialize)]
pub(super) struct DemoReport {
    /// Requests of callers.
    pub(super) requests: u64,
    /// Requests with a correct answer.
    pub(super) succeeded: u64,
    /// Requests without an answer after all attempts.
    pub(super) failed: u64,
    /// Failed requests by cause.
    pub(super) failed_by_cause: Vec<NamedCount>,
    /// Attempts that were refused without being run.
    pub(super) refused_not_run: u64,
    /// Requests that may have run without an answer.
    pub(super) unknown: u64,
    /// Answers that differ from what the request must produce.
    pub(super) wrong_answers: u64,
    /// Flows that were opened.
    pub(super) flows_opened: u64,
    /// Flows that broke outside the data centre that was taken out.
    pub(super) flows_broken: usize,
    /// Flows that were given up with the data centre.
    pub(super) flows_given_up: usize,
    /// Latencies of correct answers.
    pub(super) latency_ms: LatencySummary,
    /// Correct answers in each second.
    pub(super) goodput_per_s: Vec<u64>,
    /// Largest time-weighted load of a server over the mean, with both data centres in.
    pub(super) imbalance: f64,
    /// Longest time from an edit until it was in force everywhere, in milliseconds.
    pub(super) config_in_force_ms: u64,
    #[serde(skip)]
    load: CompactString,
    #[serde(skip)]
    broken: Vec<BrokenFlow>,
}

impl DemoReport {
    /// Joins what the load and the script found.
    pub(super) fn new(load: LoadReport, outcome: ScriptOutcome) -> DemoReport {
        let text = load_text(&load);
        let (given_up, broken): (Vec<_>, Vec<_>) = load
            .broken_flows
            .into_iter()
            .partition(|flow| is_given_up(flow, &outcome));
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

    /// Returns a readable summary.
    pub(super) fn text(&self) -> CompactString {
        let mut text = self.load.clone();
        text.push_str(&format_compact!(
            "{OUT_CENTRE} taken out and brought back: {} flows given up there, {} broken elsewhere\n",
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
            "edits in force everywhere after at most {} ms\n",
            self.config_in_force_ms,
        ));
        text.push_str(&format_compact!(
            "load of the busiest server over the mean: {:.2}\n",
            self.imbalance,
        ));
        text
    }
}

/// Returns whether a flow ended with the data centre that was out at that time.
fn is_given_up(flow: &BrokenFlow, outcome: &ScriptOutcome) -> bool {
    let was_out = (outcome.out_at.as_millis()..=outcome.back_at.as_millis())
        .contains(&u128::from(flow.at_ms));
    was_out && flow.target.starts_with(OUT_CENTRE)
}
