//! Warm-up ramp, adaptive limits, retry budget and deadlines.

mod case_table;

use carobdrum_core::{
    request::{
        AdaptiveLimit,
        AimdLimit,
        GradientLimit,
        RequestDeadline,
        RequestOutcome,
        RequestResult,
        RetryBudget,
        WarmupRamp, //
    },
    Millis,
};
use proptest::prelude::*;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

const SLOTS: u32 = 7;

fn result(latency: u64, outcome: RequestOutcome) -> RequestResult {
    RequestResult {
        latency: Millis(latency),
        outcome,
    }
}

/// Returns the ramp of a warm server whose latency baseline is 50 ms.
fn warm_ramp() -> WarmupRamp {
    let mut ramp = WarmupRamp::default();
    for _ in 0..100 {
        ramp.record(SLOTS, ramp.epoch(), result(50, RequestOutcome::Success));
    }
    assert_eq!(ramp.allowed(), SLOTS);
    ramp
}

case_table! {
    /// Guards against full load on a server that has become cold, and against a warm-up that
    /// restarts after too few bad results.
    fn cold_server_restarts_the_ramp(results: &[(usize, u64, RequestOutcome)], expected: u32) {
        let mut ramp = warm_ramp();
        for (count, latency, outcome) in results {
            for _ in 0..*count {
                ramp.record(SLOTS, 0, result(*latency, *outcome));
            }
        }
        assert_eq!(ramp.allowed(), expected);
    }
    refused: (&[(1, 0, RequestOutcome::ConnectionRefused)], 1),
    one_reset: (&[(1, 0, RequestOutcome::ConnectionReset)], SLOTS),
    two_resets: (&[(2, 0, RequestOutcome::ConnectionReset)], 1),
    resets_far_apart: (&[
        (1, 0, RequestOutcome::ConnectionReset),
        (12, 50, RequestOutcome::Success),
        (1, 0, RequestOutcome::ConnectionReset),
    ], SLOTS),
    burst_of_errors: (&[(8, 5, RequestOutcome::ServerError)], 1),
    seven_errors: (&[(7, 5, RequestOutcome::ServerError), (5, 50, RequestOutcome::Success)], SLOTS),
    slow: (&[(12, 300, RequestOutcome::Success)], 1),
    eleven_slow: (&[(11, 300, RequestOutcome::Success), (1, 50, RequestOutcome::Success)], SLOTS),
    somewhat_slow: (&[(100, 150, RequestOutcome::Success)], SLOTS),
    abandoned: (&[(100, 9_000, RequestOutcome::Abandoned)], SLOTS),
}

/// Guards against a warm-up that ends too early because of results of requests that started before
/// the restart.
#[test]
fn results_from_before_a_restart_are_ignored() {
    let mut ramp = warm_ramp();
    let before = ramp.epoch();
    ramp.restart();
    for _ in 0..50 {
        ramp.record(SLOTS, before, result(50, RequestOutcome::Success));
    }
    assert_eq!(ramp.allowed(), 1);
}

/// Guards against a ramp that restarts because of ordinary noise: 3% errors, and one request in ten
/// that takes ten times as long.
///
/// The seeds are fixed, because a restart by chance can't be excluded.
#[test]
fn noise_does_not_restart() {
    for seed in 0..300 {
        let mut ramp = warm_ramp();
        let mut rng = SmallRng::seed_from_u64(seed);
        for _ in 0..2_000 {
            let slow = if rng.random_bool(0.1) { 10 } else { 1 };
            let latency = rng.random_range(25..100) * slow;
            let outcome = match rng.random_bool(0.03) {
                true => RequestOutcome::ServerError,
                false => RequestOutcome::Success,
            };
            ramp.record(SLOTS, ramp.epoch(), result(latency, outcome));
        }
        assert_eq!(ramp.epoch(), 0, "the ramp restarted with seed {seed}");
    }
}

/// Guards against a limit that stays well below the slots because of ordinary noise: 1% errors, and
/// latencies that vary by a factor of four.
#[test]
fn noise_does_not_lower_the_limit() {
    let mut limit = AimdLimit::new(14);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut sum = 0;
    for step in 0..20_000 {
        let outcome = match rng.random_bool(0.01) {
            true => RequestOutcome::ServerError,
            false => RequestOutcome::Success,
        };
        let result = result(rng.random_range(25..100), outcome);
        limit.record(Millis(step * 10), 14, limit.limit(), result);
        sum += limit.limit();
    }
    assert!(
        sum > 20_000 * 13,
        "mean limit {} of 14",
        f64::from(sum) / 20_000.0
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against retries that multiply the load of a failing server.
    #[test]
    fn retries_stay_within_the_budget(seed: u64, requests in 1u64..2_000) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(Millis(0));
        let mut now = Millis(0);
        let mut retries = 0;
        for _ in 0..requests {
            now = now.plus(Millis(rng.random_range(0..20)));
            budget.count_request();
            retries += u64::from(budget.take_retry(now));
        }
        let allowed = 1_000 + requests * 100 + now.0;
        prop_assert!(retries * 1_000 <= allowed, "{retries} retries of {requests} requests");
        prop_assert!(retries + 1 >= requests / 10, "only {retries} retries of {requests} requests");
    }
}

case_table! {
    /// Guards against a limit that stays high while the server fails, falls below one, or never
    /// recovers after the failures.
    fn limit_follows_the_server(limit: AdaptiveLimit) {
        let mut limit = limit;
        let mut now = Millis(0);
        let mut feed = |latency: u64, outcome: RequestOutcome| {
            for _ in 0..200 {
                now = now.plus(Millis(200));
                limit.record(now, SLOTS, limit.limit(SLOTS), result(latency, outcome));
            }
            limit.limit(SLOTS)
        };
        assert_eq!(feed(50, RequestOutcome::Success), SLOTS);
        assert!(feed(50, RequestOutcome::TimedOut) <= 2);
        assert_eq!(feed(50, RequestOutcome::Success), SLOTS);
    }
    aimd: (AdaptiveLimit::Aimd(AimdLimit::new(SLOTS))),
    gradient: (AdaptiveLimit::Gradient(GradientLimit::new(SLOTS))),
}

case_table! {
    /// Guards against a caller that extends the route's timeout, and against a misread header.
    fn deadline_is_shortened(header: Option<&str>, expected: Option<u64>) {
        let deadline = RequestDeadline::on_arrival(Millis(1_000), Millis(500), header);
        assert_eq!(deadline.ok().map(|deadline| deadline.0 .0), expected);
    }
    absent: (None, Some(1_500)),
    shorter: (Some("20"), Some(1_020)),
    longer: (Some("9000"), Some(1_500)),
    zero: (Some("0"), Some(1_000)),
    spaces: (Some(" 20 "), Some(1_020)),
    negative: (Some("-1"), None),
    unit: (Some("20ms"), None),
    overflow: (Some("99999999999999999999"), None),
}
