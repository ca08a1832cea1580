//! Reuse of a target's address by another service (ROUTE), and its check.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    callers::Load,
    layout::{ARCHIVE, RECORD_ROUTE, REPORT_ROUTE},
    log::CaseLog,
    server::Server,
    site::{CaseError, Site},
};

/// Time until an address is used again; `ReuseAfterS` is 2 s.
const REUSE_AFTER: Duration = Duration::from_millis(2_200);

/// Time from which a new target listens until its first heartbeat.
const FIRST_HEARTBEAT: Duration = Duration::from_millis(75);

/// Share of the site's rates for the idempotent requests.
pub const IDEMPOTENT_SHARE: f64 = 0.8;

/// Returns the non-idempotent requests of each zone.
pub fn record_load() -> Load {
    Load {
        name: "meting",
        route: RECORD_ROUTE,
        per_s: 25.0,
        deadline: Duration::from_millis(1_500),
        is_idempotent: false,
    }
}

/// Starts a target of `service` beside an agent whose target ended at `ended`, after the shortest
/// time for which an address stays unused. The settings file of the agent changes, without a signal.
pub fn reuse_address(
    site: &mut Site,
    servers: &mut [Option<Server>],
    index: usize,
    service: &str,
    id: &str,
    ended: Instant,
) -> Result<(), CaseError> {
    thread::sleep(REUSE_AFTER.saturating_sub(ended.elapsed()));
    site.change_service(index, service)?;
    let mut settings = site.server_settings(index, id);
    settings.first_heartbeat = FIRST_HEARTBEAT;
    servers[index] = Some(site.start_server(settings, Duration::ZERO)?);
    Ok(())
}

/// Returns the opening packets that were taken by targets of a service to which no configuration
/// sends them.
pub fn check_services(log: &CaseLog) -> Vec<String> {
    let mut broken = Vec::new();
    let (mut run, mut unsafe_run) = (0, 0);
    for ((_, route), attempt) in log.attempts() {
        let is_foreign = |service: &str| (service == ARCHIVE) != (route == REPORT_ROUTE);
        for event in attempt
            .taken
            .iter()
            .filter(|event| is_foreign(&event.service))
        {
            broken.push(format!(
                "the opening packet of {} to {route} was taken by {} of {}",
                attempt.id, event.server, event.service
            ));
        }
        let count = attempt
            .ran
            .iter()
            .filter(|event| is_foreign(&event.service))
            .count();
        run += count;
        unsafe_run += if route == RECORD_ROUTE { count } else { 0 };
    }
    log.note(format!(
        "requests run by a service that no configuration allows: {run}, of which non-idempotent: \
         {unsafe_run}"
    ));
    broken
}
