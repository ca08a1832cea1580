//! A randomized soak of the platform roles: real processes, faults from outside them.
//!
//! CI plays a few seeds. More are played by hand, as `SOAK_SEEDS=1..51 cargo test --release --test
//! platform_soak -- --nocapture`; a seed that ever failed becomes a case of its own below.

mod soak_caller;
mod soak_faults;
mod soak_router;
mod soak_site;

use std::time::Duration;

use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use rstest::rstest;
use tokio::time::sleep;

use crate::{
    soak_caller::{
        run_callers,
        SoakCount, //
    },
    soak_faults::play_faults,
    soak_site::SoakSite, //
};

/// Time for which faults come.
const FAULT_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault within which all is well again.
const RECOVERY_TIME: Duration = Duration::from_secs(4);

/// Time of the calm check at the end.
const CALM_TIME: Duration = Duration::from_secs(2);

/// Least share of the requests that are served while faults come, in percent.
const LEAST_SERVED_PERCENT: usize = 50;

async fn play(seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut site = SoakSite::start(seed).await;
    sleep(RECOVERY_TIME).await;
    let faults = async {
        play_faults(&mut site, &mut random, FAULT_TIME).await;
        site
    };
    let base = soak_site::base_octet(seed);
    let (mut site, under_faults) = tokio::join!(faults, run_callers(base, 0, FAULT_TIME));
    site.heal().await;
    sleep(RECOVERY_TIME).await;
    let calm = run_callers(base, 1, CALM_TIME).await;
    println!("seed {seed}: under faults {under_faults:?}, calm {calm:?}");
    check(seed, &site, &under_faults, &calm);
}

/// Checks what callers and servers saw.
fn check(seed: u64, site: &SoakSite, under_faults: &SoakCount, calm: &SoakCount) {
    for count in [under_faults, calm] {
        assert_eq!(
            count.wrong_answers, 0,
            "seed {seed}: an answer of another request"
        );
        assert_eq!(count.resets, 0, "seed {seed}: an open flow was reset");
    }
    let repeated = site.repeated_runs();
    assert!(repeated.is_empty(), "seed {seed}: run twice: {repeated:?}");
    let least = under_faults.asked * LEAST_SERVED_PERCENT / 100;
    assert!(
        under_faults.served >= least,
        "seed {seed}: {under_faults:?}"
    );
    assert_eq!(
        calm.served, calm.asked,
        "seed {seed}: not well after the faults: {calm:?}"
    );
}

/// Guards against promises that break when faults come in series and overlap.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keeps_promises_under_random_faults(#[case] seed: u64) {
    play(seed).await;
}

/// Plays the seeds of the variable `SOAK_SEEDS`, such as `10..60`, if it is set.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn plays_the_seeds_of_the_environment() {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, end) = range.split_once("..").expect("a range such as 1..51");
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        play(seed).await;
    }
}
