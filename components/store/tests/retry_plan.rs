//! Delays between retries.

use std::time::Duration;

use carobdrum_store::RetryPlan;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

/// Guards against retries that come too early, without jitter, or without end.
#[test]
fn delays_grow_to_the_maximum_and_end() {
    let mut rng = SmallRng::seed_from_u64(7);
    let plan = RetryPlan::new(Duration::from_millis(100), Duration::from_millis(500));
    let mut plan = plan.with_max_retries(6);
    for step in [100, 200, 400, 500, 500, 500] {
        let delay = plan.next_delay(&mut rng).unwrap();
        let step = Duration::from_millis(step);
        assert!((step / 2..=step).contains(&delay), "{delay:?} for {step:?}");
        assert_ne!(delay, step, "without jitter");
    }
    assert_eq!(plan.next_delay(&mut rng), None);
    plan.reset();
    assert!(plan.next_delay(&mut rng).unwrap() <= Duration::from_millis(100));
}

/// Guards against an overflow after many retries, when the store is down for days.
#[test]
fn unlimited_plan_stays_at_the_maximum() {
    let mut rng = SmallRng::seed_from_u64(7);
    let max_delay = Duration::from_secs(30);
    let mut plan = RetryPlan::new(Duration::from_millis(100), max_delay);
    let last = (0..1_000).filter_map(|_| plan.next_delay(&mut rng)).last();
    assert!((max_delay / 2..=max_delay).contains(&last.unwrap()));
}
