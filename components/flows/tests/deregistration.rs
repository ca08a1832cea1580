//! Deletion of the registrations of agents whose servers have ended.

use carobdrum_core::Millis;
use carobdrum_flows::process::Deregistration;
use rstest::rstest;

/// Guards against an agent that is killed in an attempt, and against one that doesn't try at all since its
/// open flows took the whole grace period.
#[rstest]
#[case::ends_in_time(5_000, 0, 500, 5)]
#[case::flows_take_the_grace_period(5_000, 4_300, 300, 1)]
#[case::no_time_left(5_000, 4_900, 300, 1)]
#[case::no_grace_period(0, 0, 300, 1)]
fn attempts_end_with_the_grace_period(
    #[case] grace: u64,
    #[case] begin: u64,
    #[case] first: u64,
    #[case] most: u32,
) {
    let signalled = Millis(1_000);
    let mut now = signalled.plus(Millis(begin));
    let mut attempts = Deregistration::new(signalled, Millis(grace));
    let mut limits = Vec::new();
    while let Some(limit) = attempts.begin_attempt(now) {
        limits.push(limit);
        now = now.plus(limit);
        now = now.plus(attempts.pause(Deregistration::MAX_PAUSE, now));
    }
    assert_eq!(limits[0], Millis(first));
    assert_eq!(attempts.attempts(), limits.len() as u32);
    assert!(attempts.attempts() <= most, "{limits:?}");
    let end = signalled
        .plus(Millis(grace.max(begin + 800)))
        .since(Millis(500));
    assert!(now <= end, "{limits:?}");
}
