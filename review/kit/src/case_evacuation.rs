//! FAILBACK: a zone is taken back with cold targets.

use std::path::Path;

use crate::{
    cold_limit::{check_cold, COLD, COLD_PER_S},
    layout::{start_callers, start_servers, start_site, Config, AGENTS},
    site::pause,
    CaseResult,
};

const STABILITY_WINDOW_MS: u64 = 4_000;

const ZONE: &str = "nlm-b";
const ROUNDS: usize = 4;
const EVACUATION_MS: u64 = 8_000;
const BETWEEN_MS: u64 = 5_000;

pub fn run(root: &Path, with_trouble: bool) -> CaseResult {
    let config = Config {
        cold_per_s: COLD_PER_S,
        ..Config::first()
    };
    let site = start_site(root, &config)?;
    let servers = start_servers(&site, None)?;
    site.wait_until_ready(servers.len())?;
    let callers = start_callers(&site, 1.0, &[])?;
    pause(STABILITY_WINDOW_MS);
    let mut cold_since = Vec::new();
    for _ in 0..ROUNDS {
        let key = format!("op/evacuate/{ZONE}");
        if with_trouble {
            site.store.put(&key, "{}");
            site.log
                .note(format!("the evacuation of {ZONE} is acknowledged"));
        }
        pause(EVACUATION_MS);
        if with_trouble {
            for (index, server) in servers.iter().enumerate() {
                if let Some(server) = server.as_ref().filter(|_| AGENTS[index].0 == ZONE) {
                    server.turn_cold(COLD);
                    cold_since.push((server.settings().name.clone(), site.log.now()));
                }
            }
            site.store.delete(&key);
            site.log.note(format!("{ZONE} is taken back"));
        }
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
