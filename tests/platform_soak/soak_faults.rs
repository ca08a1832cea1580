//! Random faults from outside the processes, which may overlap.

use std::time::Duration;

use carobdrum_platform_standins::StoreMode;
use rand::{
    rngs::SmallRng,
    Rng, //
};
use tokio::time::{
    sleep,
    Instant, //
};

use crate::soak_site::SoakSite;

/// Range of the pause between faults, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..700;

/// Number of faults after which all stopped processes are restarted.
const FAULTS_PER_RESTART: u32 = 2;

/// Faults that a run draws from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FaultSet {
    /// All faults.
    All,
    /// All faults, and returns of the store from older copies.
    Returns,
    /// Planned work only: stops by SIGTERM, changed settings and configurations, evacuations and
    /// servers that are replaced.
    Planned,
}

/// Injects faults of `set` for `time`.
pub(crate) async fn inject_faults(
    site: &mut SoakSite,
    set: FaultSet,
    random: &mut SmallRng,
    time: Duration,
) {
    let end = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < end {
        match set {
            FaultSet::Returns if count > 0 && random.random_range(0..3) == 0 => {
                site.return_store(random).await;
            }
            FaultSet::All | FaultSet::Returns if random.random_range(0..4) > 0 => {
                inject_fault(site, random).await
            }
            _ => plan_work(site, random).await,
        }
        if set == FaultSet::Returns {
            site.keep_copy();
        }
        site.replace_servers().await;
        count += 1;
        if count % FAULTS_PER_RESTART == 0 {
            site.start_all();
        }
        sleep(Duration::from_millis(
            random.random_range(FAULT_INTERVAL_MS),
        ))
        .await;
    }
}

async fn inject_fault(site: &mut SoakSite, random: &mut SmallRng) {
    let index = random.random_range(0..site.processes.len());
    match random.random_range(0..14) {
        0 | 1 => site.stop(index, libc::SIGKILL).await,
        2 | 3 => site.stop(index, libc::SIGTERM).await,
        4 => site.processes[index].signal(libc::SIGSTOP),
        5..=7 => {
            for process in &site.processes {
                process.signal(libc::SIGCONT);
            }
        }
        8 => site.processes[index].signal(libc::SIGHUP),
        9 => {
            let modes = [
                StoreMode::Unavailable,
                StoreMode::Unresponsive,
                StoreMode::DropsWriteResponses,
            ];
            site.store
                .set_mode(modes[random.random_range(0..modes.len())]);
        }
        10 => site.store.set_mode(StoreMode::Open),
        11 => {
            site.store.close_connections();
            site.store.compact_history();
        }
        12 => site.change_config(),
        _ if random.random() => site.store.put("op/evacuate/north", "{}"),
        _ => site.store.remove("op/evacuate/north"),
    }
}

async fn plan_work(site: &mut SoakSite, random: &mut SmallRng) {
    let index = random.random_range(0..site.processes.len());
    let server = random.random_range(0..site.servers.len());
    let work = random.random_range(0..7);
    println!("planned work {work}, process {index}, server {server}");
    match work {
        0 | 1 => site.stop(index, libc::SIGTERM).await,
        2 | 3 => site.drain_server(server),
        4 => site.processes[index].signal(libc::SIGHUP),
        5 => site.change_config(),
        _ if random.random() => site.store.put("op/evacuate/north", "{}"),
        _ => site.store.remove("op/evacuate/north"),
    }
}
