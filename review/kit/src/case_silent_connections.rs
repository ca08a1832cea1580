//! CONFIG: open connections to the store go silent soon after a change of the configuration.

use std::{path::Path, time::Duration};

use crate::{
    callers::Load,
    layout::{
        start_callers, start_servers, start_site, Config, ADDED_ROUTE, RECORD_ROUTE, WORKSHOP,
    },
    log::Outcome,
    site::pause,
    CaseResult,
};

/// `StabilityWindowMs`: time after a disruption from which machines are in touch.
const STABILITY_WINDOW_MS: u64 = 4_000;

/// `ConfigApplyMs`.
const CONFIG_APPLY_MS: u64 = 3_000;

/// Time from the acknowledgement of a change until the connections go silent.
const SILENT_AFTER_MS: u64 = 300;

/// Time from the silence until the next change, of which the stability window is a part.
const NEXT_CHANGE_MS: u64 = 6_000;

/// Time for which callers go on after the last change.
const OBSERVED_MS: u64 = 15_000;

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let mut config = Config::first();
    let site = start_site(root, &config)?;
    let servers = start_servers(&site, None)?;
    site.wait_until_ready(servers.len())?;
    let load = |name, route| Load {
        name,
        route,
        per_s: 5.0,
        deadline: Duration::from_millis(1_500),
        is_idempotent: false,
    };
    let further = [load("dropped", RECORD_ROUTE), load("added", ADDED_ROUTE)];
    let callers = start_callers(&site, 0.3, &further)?;
    pause(STABILITY_WINDOW_MS);
    config.version += 3;
    config.timeout_ms += 100;
    site.store.put("op/config", &config.text());
    site.log.note(format!(
        "version {} is acknowledged (time-outs)",
        config.version
    ));
    pause(SILENT_AFTER_MS);
    if with_trouble {
        let count = site.store.silence_connections();
        let count = count.ok_or("no socket filter here")?;
        site.log
            .note(format!("{count} open connections to the store go silent"));
    }
    pause(NEXT_CHANGE_MS);
    config.version += 3;
    config.routes.retain(|route| route.0 != RECORD_ROUTE);
    config.routes.push((ADDED_ROUTE, WORKSHOP));
    site.store.put("op/config", &config.text());
    let acknowledged = site.log.note(format!(
        "version {} is acknowledged: it drops the route {RECORD_ROUTE} and adds {ADDED_ROUTE}",
        config.version
    ));
    pause(OBSERVED_MS);
    for caller in callers {
        caller.stop();
    }
    let due = acknowledged + CONFIG_APPLY_MS;
    let mut broken = Vec::new();
    for ((_, route), attempt) in site.log.attempts() {
        if attempt.sent <= due {
            continue;
        }
        let late = attempt.sent - acknowledged;
        if route == RECORD_ROUTE && !attempt.ran.is_empty() {
            let server = &attempt.ran[0].server;
            broken.push(format!(
                "{} was sent {late} ms after the acknowledgement and run by {server} on a dropped route",
                attempt.id
            ));
        }
        if route == ADDED_ROUTE && attempt.outcome == (Outcome::Reset { was_open: false }) {
            broken.push(format!(
                "{} was sent {late} ms after the acknowledgement and refused on an added route",
                attempt.id
            ));
        }
    }
    drop(servers);
    Ok((site, broken))
}
