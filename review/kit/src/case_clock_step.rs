//! DRAIN: the time of day of a target's machine jumps back between two starts of the target.

use std::{path::Path, time::Duration};

use crate::{
    layout::{start_callers, start_servers, start_site, Config},
    log::Outcome,
    site::pause,
    CaseResult,
};

/// How far the time of day jumps, in milliseconds.
const STEP_MS: u64 = 2_000;

const STABILITY_WINDOW_MS: u64 = 4_000;

/// `DrainTimeoutMs`.
const DRAIN_TIMEOUT_MS: u64 = 3_000;

/// The target that is started twice.
const RESTARTED: usize = 0;

/// Time for which the first run of that target lasts, and time until it is started again.
const FIRST_RUN_MS: u64 = 1_000;
const DOWN_MS: u64 = 400;

/// Time for which the target serves after the acknowledgement.
const SERVED_MS: u64 = 9_000;

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config::first();
    let site = start_site(root, &config)?;
    let servers = start_servers(&site, Some(RESTARTED))?;
    site.wait_until_ready(servers.len() - 1)?;
    let callers = start_callers(&site, 0.5, &[])?;
    pause(STABILITY_WINDOW_MS);

    let mut settings = site.server_settings(RESTARTED, "1");
    settings.clock_ahead_ms = if with_trouble { STEP_MS } else { 0 };
    let first = site.start_server(settings, Duration::ZERO)?;
    pause(FIRST_RUN_MS);
    if with_trouble {
        site.log.note(format!(
            "the time of day on its machine jumps back by {STEP_MS} ms"
        ));
    }
    first.crash();
    pause(DOWN_MS);
    let second = site.start_server(site.server_settings(RESTARTED, "2"), Duration::ZERO)?;
    let name = second.settings().name.clone();
    pause(2 * STABILITY_WINDOW_MS);

    second.drain();
    pause(SERVED_MS);
    let acknowledged = second.drain_acknowledged();
    second.leave();
    pause(3_000);
    for caller in callers {
        caller.stop();
    }
    let Some(acknowledged) = acknowledged else {
        site.log.note("the draining wasn't acknowledged");
        return Ok((site, Vec::new()));
    };
    let mut broken = Vec::new();
    let mut lost = 0;
    for (_, attempt) in site.log.attempts() {
        let Some(taken) = attempt.taken.iter().find(|event| event.server == name) else {
            continue;
        };
        if taken.at > acknowledged + DRAIN_TIMEOUT_MS {
            broken.push(format!(
                "{} reached {name} {} ms after its draining was acknowledged",
                attempt.id,
                taken.at - acknowledged
            ));
            lost += usize::from(matches!(attempt.outcome, Outcome::Deadline));
        }
    }
    site.log
        .note(format!("{lost} of them were accepted and never answered"));
    drop(servers);
    Ok((site, broken))
}
