//! Spacing of retries.

use std::time::Duration;

use carobdrum_store::RetryPlan;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

/// Guards against retries that come faster than planned, all at one moment, or without end.
#[test]
fn delays_grow_to_the_longest_and_end() {
    let mut rng = SmallRng::seed_from_u64(7);
    let plan = RetryPlan::new(Duration::from_millis(100), Duration::from_millis(500));
    let mut plan = plan.limited_to(6);
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

/// Guards against an overflow after many failures of a store that is down for days.
#[test]
fn endless_plan_stays_at_the_longest() {
    let mut rng = SmallRng::seed_from_u64(7);
    let longest = Duration::from_secs(30);
    let mut plan = RetryPlan::new(Duration::from_millis(100), longest);
    let last = (0..1_000).filter_map(|_| plan.next_delay(&mut rng)).last();
    assert!((longest / 2..=longest).contains(&last.unwrap()));
}
