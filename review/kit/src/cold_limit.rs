//! The limit of cold targets (FAILBACK), and its check.

use std::time::Duration;

use crate::{layout::WORKSHOP, log::CaseLog};

/// `ColdStartS`, `ColdPerS`, `ColdOverage` and `ColdSlack`.
pub const COLD: Duration = Duration::from_secs(2);
pub const COLD_PER_S: f64 = 10.0;
const COLD_OVERAGE: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;

/// Checks a target that is cold for [`COLD`] from `since` on; returns what broke the limit.
pub fn check_cold(log: &CaseLog, name: &str, since: u64) -> Option<String> {
    let limit = COLD_PER_S * COLD_OVERAGE + COLD_SLACK;
    let until = since + COLD.as_millis() as u64;
    let attempts = log.attempts();
    let taken = attempts.iter().filter_map(|(_, attempt)| {
        let event = attempt.taken.iter().find(|event| event.server == name)?;
        (event.service == WORKSHOP).then_some((attempt.sent, event.at))
    });
    let taken: Vec<(u64, u64)> = taken
        .filter(|(sent, at)| *sent >= since && *at <= until)
        .collect();
    // Counted are requests that were sent and arrived inside the same second.
    let in_second = |start: u64| {
        taken
            .iter()
            .filter(|(sent, at)| *sent >= start && *at < start + 1_000)
            .count()
    };
    let most = taken
        .iter()
        .map(|(sent, _)| in_second(*sent))
        .max()
        .unwrap_or(0);
    log.note(format!(
        "{name}, cold since {since} ms: at most {most} requests in a second"
    ));
    (most as f64 > limit)
        .then(|| format!("{name} got {most} requests in a second while cold; the limit is {limit}"))
}
