//! Text summary of a load.

use carobdrum_caller::{
    LoadReport,
    NamedCount, //
};
use compact_str::{
    format_compact,
    CompactString, //
};

/// Returns a text summary of a load.
pub(in crate::cmd) fn load_text(report: &LoadReport) -> CompactString {
    let latency = report.latency_ms;
    let mut text = format_compact!(
        "{} requests in {:.1} s: {} correct, {} failed ({} of unknown outcome), {} wrong\n",
        report.requests,
        report.seconds,
        report.succeeded,
        report.failed,
        report.unknown,
        report.wrong_answers,
    );
    text.push_str(&format_compact!(
        "attempts: {} retries, {} refused without being run\n",
        report.repeats,
        report.refused_not_run,
    ));
    text.push_str(&format_compact!(
        "flows: {} opened, {} broken\n",
        report.flows_opened,
        report.flows_broken,
    ));
    text.push_str(&format_compact!(
        "latency: {:.1} ms median, {:.1} ms 99th percentile, {:.1} ms largest\n",
        latency.p50,
        latency.p99,
        latency.max,
    ));
    push_counts(&mut text, "failed requests", &report.failed_by_cause);
    push_counts(
        &mut text,
        "failed connection attempts",
        &report.connects_failed,
    );
    push_counts(&mut text, "correct responses by server", &report.targets);
    for example in &report.wrong_examples {
        text.push_str(&format_compact!("wrong response: {example}\n"));
    }
    text
}

fn push_counts(text: &mut CompactString, title: &str, counts: &[NamedCount]) {
    if counts.is_empty() {
        return;
    }
    text.push_str(title);
    let mut separator = ": ";
    for entry in counts {
        text.push_str(&format_compact!(
            "{separator}{} {}",
            entry.name,
            entry.count
        ));
        separator = ", ";
    }
    text.push('\n');
}
