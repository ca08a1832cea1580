//! A randomized soak test of the platform roles: real processes with faults from outside them.
//!
//! CI runs a few seeds. More can be run with `SOAK_SEEDS=1..51 cargo test --release --test
//! platform_soak -- --nocapture`. A seed that has ever failed is added as a case below.

mod soak_caller;
mod soak_faults;
mod soak_router;
mod soak_server;
mod soak_site;
mod soak_verdict;

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
    soak_faults::{
        inject_faults,
        FaultSet, //
    },
    soak_site::SoakSite,
    soak_verdict::{
        stray_flows,
        wrong_resets, //
    },
};

/// Time during which faults are injected.
const FAULT_DURATION: Duration = Duration::from_secs(8);

/// Time limit for recovery after the start and after the last fault.
const RECOVERY_DURATION: Duration = Duration::from_secs(4);

/// Duration of the load without faults at the end.
const CALM_DURATION: Duration = Duration::from_secs(2);

/// Smallest share of the requests that must be served while faults are injected, in percent.
const MIN_SERVED_PERCENT: usize = 50;

async fn run_seed(seed: u64, set: FaultSet) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut site = SoakSite::start(seed).await;
    let base = site.base_octet();
    sleep(RECOVERY_DURATION).await;
    let faults = async {
        inject_faults(&mut site, set, &mut random, FAULT_DURATION).await;
        site
    };
    let (mut site, under_faults) = tokio::join!(faults, run_callers(base, 0, FAULT_DURATION));
    site.end_faults().await;
    sleep(RECOVERY_DURATION).await;
    let calm = run_callers(base, 1, CALM_DURATION).await;
    println!("seed {seed}, {set:?}: {under_faults}, calm: {calm}");
    check(seed, &site, &under_faults, &calm);
    if set == FaultSet::Planned {
        let strays = stray_flows(&site, &under_faults);
        assert!(strays.is_empty(), "seed {seed}: {strays:?} went elsewhere");
    }
}

/// Checks the results of callers and servers.
fn check(seed: u64, site: &SoakSite, under_faults: &SoakCount, calm: &SoakCount) {
    for count in [under_faults, calm] {
        assert_eq!(
            count.wrong_answers, 0,
            "seed {seed}: a caller got the response to another request"
        );
        let wrong = wrong_resets(site, count);
        assert!(wrong.is_empty(), "seed {seed}: open flows reset: {wrong:?}");
    }
    let repeated = site.repeated_runs();
    assert!(
        repeated.is_empty(),
        "seed {seed}: requests run more than once: {repeated:?}"
    );
    let min_served = under_faults.asked * MIN_SERVED_PERCENT / 100;
    assert!(
        under_faults.served >= min_served,
        "seed {seed}: {under_faults}"
    );
    assert_eq!(
        calm.served, calm.asked,
        "seed {seed}: requests not served after the faults ended: {calm}"
    );
}

/// Guards against guarantees that are violated when faults follow one another and overlap.
#[rstest]
#[case::first(1)]
#[case::second(2)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn meets_guarantees_under_random_faults(#[case] seed: u64) {
    run_seed(seed, FaultSet::All).await;
}

/// Guards against open flows that are reset, or led to other servers, by planned work alone.
#[rstest]
#[case::first(3)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_work_breaks_no_open_flow(#[case] seed: u64) {
    run_seed(seed, FaultSet::Planned).await;
}

/// Runs the seeds in the environment variable `SOAK_SEEDS`, such as `10..60`, if it is set; the odd ones
/// with planned work only.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_the_seeds_of_the_environment() {
    let Ok(range) = std::env::var("SOAK_SEEDS") else {
        return;
    };
    let (first, end) = range
        .split_once("..")
        .expect("SOAK_SEEDS is not a range such as 1..51");
    for seed in first.parse().unwrap()..end.parse().unwrap() {
        let set = match seed % 2 {
            0 => FaultSet::All,
            _ => FaultSet::Planned,
        };
        run_seed(seed, set).await;
    }
}
