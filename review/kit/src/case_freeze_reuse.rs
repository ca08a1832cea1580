//! ROUTE: a machine's agent is frozen while its target ends and another service reuses the address.

use std::{path::Path, time::Duration};

use crate::{
    layout::{start_callers, start_servers, start_site, Config, ARCHIVE, REPORT_ROUTE, WORKSHOP},
    server::Server,
    site::{pause, CaseError, Site},
    system::{SIGCONT, SIGHUP, SIGSTOP},
    CaseResult,
};

const STABILITY_WINDOW_MS: u64 = 4_000;

/// Time for which an agent is frozen.
const FREEZE_MS: u64 = 3_400;

/// Time from the begin of the freeze until the target ends.
const CRASH_AFTER_MS: u64 = 1_000;

/// Time until the address is used again; `ReuseAfterS` is 2 s.
const REUSE_AFTER_MS: u64 = 2_200;

/// Time between two disruptions.
const BETWEEN_MS: u64 = 1_000;

/// Agents to which this happens, one after the other.
const FROZEN: [usize; 13] = [0, 3, 5, 1, 4, 6, 2, 3, 5, 0, 4, 6, 1];

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config::first();
    let mut site = start_site(root, &config)?;
    let mut servers = start_servers(&site, None)?;
    site.wait_until_ready(servers.len())?;
    let callers = start_callers(&site, 1.0, &[])?;
    pause(STABILITY_WINDOW_MS);
    for (round, index) in (1..).zip(FROZEN) {
        if with_trouble {
            site.agents[index].signal(SIGSTOP);
            site.log
                .note(format!("{} is frozen", site.agents[index].name));
        }
        pause(CRASH_AFTER_MS);
        reuse_address(
            &mut site,
            &mut servers,
            index,
            ARCHIVE,
            &format!("archive-{round}"),
        )?;
        pause(FREEZE_MS - CRASH_AFTER_MS - REUSE_AFTER_MS);
        if with_trouble {
            site.agents[index].signal(SIGCONT);
            site.log.note(format!("{} wakes", site.agents[index].name));
        }
        pause(BETWEEN_MS);
        // The workshop gets the address back, so that it keeps its number of targets.
        reuse_address(
            &mut site,
            &mut servers,
            index,
            WORKSHOP,
            &format!("workshop-{round}"),
        )?;
        pause(BETWEEN_MS);
    }
    for caller in callers {
        caller.stop();
    }
    let mut broken = Vec::new();
    let mut run = 0;
    for ((_, route), attempt) in site.log.attempts() {
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
        run += attempt
            .ran
            .iter()
            .filter(|event| is_foreign(&event.service))
            .count();
    }
    site.log.note(format!(
        "requests run by a service that no configuration allows: {run}"
    ));
    drop(servers);
    Ok((site, broken))
}

/// Ends the target beside an agent without a word, and starts one of `service` at its address after
/// the shortest time for which an address stays unused.
fn reuse_address(
    site: &mut Site,
    servers: &mut [Option<Server>],
    index: usize,
    service: &str,
    id: &str,
) -> Result<(), CaseError> {
    if let Some(server) = servers[index].take() {
        server.crash();
    }
    pause(REUSE_AFTER_MS);
    site.change_service(index, service)?;
    site.agents[index].signal(SIGHUP);
    let settings = site.server_settings(index, id);
    servers[index] = Some(site.start_server(settings, Duration::ZERO)?);
    Ok(())
}
