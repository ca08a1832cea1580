//! ROUTE: a target and its agent end, the agent starts again, and another service reuses the address.

use std::{path::Path, time::Instant};

use crate::{
    layout::{start_callers, start_servers, start_site, Config, ARCHIVE, WORKSHOP},
    reuse::{check_services, record_load, reuse_address, IDEMPOTENT_SHARE},
    site::pause,
    CaseResult,
};

const STABILITY_WINDOW_MS: u64 = 4_000;

/// Time from the end of the target until its agent is killed, and until the agent starts again.
const KILL_AFTER_MS: u64 = 200;
const RESTART_MS: u64 = 500;

/// Time between two disruptions.
const BETWEEN_MS: u64 = 1_000;

/// Agents to which this happens, one after the other.
const RESTARTED: [usize; 3] = [3, 5, 4];

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config::first();
    let mut site = start_site(root, &config)?;
    let mut servers = start_servers(&site, None)?;
    site.wait_until_ready(servers.len())?;
    let callers = start_callers(&site, IDEMPOTENT_SHARE, &[record_load()])?;
    pause(STABILITY_WINDOW_MS);
    for (round, index) in (1..).zip(RESTARTED) {
        let crashed = Instant::now();
        if let Some(server) = servers[index].take() {
            server.crash();
        }
        pause(KILL_AFTER_MS);
        if with_trouble {
            site.agents[index].kill();
            site.log
                .note(format!("{} is killed", site.agents[index].name));
        }
        pause(RESTART_MS);
        if with_trouble {
            site.restart_agent(index)?;
            site.log
                .note(format!("{} starts again", site.agents[index].name));
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
