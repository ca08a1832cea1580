//! ROUTE: a machine's agent is frozen while its target ends and another service reuses the address.

use std::{path::Path, time::Instant};

use crate::{
    layout::{start_callers, start_servers, start_site, Config, ARCHIVE, WORKSHOP},
    reuse::{check_services, record_load, reuse_address, IDEMPOTENT_SHARE},
    site::pause,
    system::{SIGCONT, SIGSTOP},
    CaseResult,
};

const STABILITY_WINDOW_MS: u64 = 4_000;

/// Time for which an agent is frozen.
const FREEZE_MS: u64 = 2_900;

/// Time from the begin of the freeze until the target ends.
const CRASH_AFTER_MS: u64 = 1_000;

/// Time between two disruptions.
const BETWEEN_MS: u64 = 1_000;

/// Agents to which this happens, one after the other.
const FROZEN: [usize; 2] = [3, 5];

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config::first();
    let mut site = start_site(root, &config)?;
    let mut servers = start_servers(&site, None)?;
    site.wait_until_ready(servers.len())?;
    let callers = start_callers(&site, IDEMPOTENT_SHARE, &[record_load()])?;
    pause(STABILITY_WINDOW_MS);
    for (round, index) in (1..).zip(FROZEN) {
        if with_trouble {
            site.agents[index].signal(SIGSTOP);
            site.log
                .note(format!("{} is frozen", site.agents[index].name));
        }
        pause(CRASH_AFTER_MS);
        let crashed = Instant::now();
        if let Some(server) = servers[index].take() {
            server.crash();
        }
        pause(FREEZE_MS - CRASH_AFTER_MS);
        if with_trouble {
            site.agents[index].signal(SIGCONT);
            site.log.note(format!("{} wakes", site.agents[index].name));
        }
        let id = format!("archive-{round}");
        reuse_address(&mut site, &mut servers, index, ARCHIVE, &id, crashed)?;
        pause(BETWEEN_MS);
        // The workshop gets the address back, so that it keeps its number of targets.
        let ended = Instant::now();
        if let Some(server) = servers[index].take() {
            server.crash();
        }
        let id = format!("workshop-{round}");
        reuse_address(&mut site, &mut servers, index, WORKSHOP, &id, ended)?;
        pause(BETWEEN_MS);
    }
    for caller in callers {
        caller.stop();
    }
    let broken = check_services(&site.log);
    drop(servers);
    Ok((site, broken))
}
