//! FAILBACK: the agent beside a cold target is killed and starts again.

use std::path::Path;

use crate::{
    cold_limit::{check_cold, COLD, COLD_PER_S},
    layout::{start_callers, start_servers, start_site, Config},
    site::pause,
    CaseResult,
};

const STABILITY_WINDOW_MS: u64 = 4_000;

/// The target that is started while callers send, and its agent.
const ADDED: usize = 3;

/// Time from the start of the target until its agent is killed, and until the agent starts again.
const KILL_AFTER_MS: u64 = 250;
const RESTART_MS: u64 = 500;

const ROUNDS: usize = 3;

/// Time between two rounds. It includes the pause in which the address stays unused.
const BETWEEN_MS: u64 = 6_000;

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config {
        cold_per_s: COLD_PER_S,
        ..Config::first()
    };
    let mut site = start_site(root, &config)?;
    let servers = start_servers(&site, Some(ADDED))?;
    site.wait_until_ready(servers.len() - 1)?;
    let callers = start_callers(&site, 1.0, &[])?;
    pause(STABILITY_WINDOW_MS);
    let mut cold_since = Vec::new();
    for round in 1..=ROUNDS {
        let settings = site.server_settings(ADDED, &format!("{round}"));
        cold_since.push((settings.name.clone(), site.log.now()));
        let server = site.start_server(settings, COLD)?;
        pause(KILL_AFTER_MS);
        if with_trouble {
            site.agents[ADDED].kill();
            site.log
                .note(format!("{} is killed", site.agents[ADDED].name));
        }
        pause(RESTART_MS);
        if with_trouble {
            site.restart_agent(ADDED)?;
            site.log
                .note(format!("{} starts again", site.agents[ADDED].name));
        }
        pause(COLD.as_millis() as u64);
        server.drain();
        pause(BETWEEN_MS);
        server.leave();
        pause(BETWEEN_MS);
    }
    for caller in callers {
        caller.stop();
    }
    let found = cold_since
        .iter()
        .filter_map(|(name, since)| check_cold(&site.log, name, *since));
    let broken = found.collect();
    drop(servers);
    Ok((site, broken))
}
