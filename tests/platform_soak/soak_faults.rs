//! Faults from outside the processes, in series that overlap.

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

/// Shortest and longest pause between faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 100..700;

/// Processes are started again after each this many faults.
const RESTART_EVERY: u32 = 2;

/// Plays faults for a time.
pub(crate) async fn play_faults(site: &mut SoakSite, random: &mut SmallRng, time: Duration) {
    let end = Instant::now() + time;
    let mut count = 0;
    while Instant::now() < end {
        play_one(site, random).await;
        count += 1;
        if count % RESTART_EVERY == 0 {
            site.start_all();
        }
        sleep(Duration::from_millis(random.random_range(PAUSE_MS))).await;
    }
}

async fn play_one(site: &mut SoakSite, random: &mut SmallRng) {
    let index = random.random_range(0..site.processes.len());
    match random.random_range(0..14) {
        0 | 1 => site.end(index, libc::SIGKILL).await,
        2 | 3 => site.end(index, libc::SIGTERM).await,
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
