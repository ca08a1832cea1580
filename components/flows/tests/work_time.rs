//! Processing time that agents report.

use carobdrum_core::Millis;
use carobdrum_flows::connection::WorkTime;
use rstest::rstest;

/// Records `count` responses, one each `interval` milliseconds, that took `time` with `slots` 3; returns the
/// time of the last one.
fn record(
    work: &mut WorkTime,
    count: u64,
    interval: u64,
    time: u64,
    queued: bool,
    from: u64,
) -> u64 {
    for step in 1..=count {
        work.record(Millis(time), queued, 3, Millis(from + step * interval));
    }
    from + count * interval
}

/// Guards against a server that looks fast or slow by chance, by a hang, or by the delay of its queue.
#[rstest]
#[case::too_few_samples(15, 40, 0, 0)]
#[case::enough_samples(16, 40, 0, 40_000)]
#[case::one_hang(200, 40, 1, 41_875)]
fn the_average_withstands_hangs_and_queues(
    #[case] count: u64,
    #[case] time: u64,
    #[case] hangs: u64,
    #[case] expected_us: u32,
) {
    let mut work = WorkTime::default();
    let mut now = record(&mut work, count, 20, time, false, 0);
    now = record(&mut work, hangs, 20, 9_000, false, now);
    now = record(&mut work, 30, 20, 500, true, now);
    assert_eq!(work.average_us(Millis(now)), expected_us);
}

/// Guards against a server that keeps a time measured while it was cold or briefly slow: with a low weight it
/// gets few requests.
#[rstest]
#[case::many_requests(20, 300)]
#[case::few_requests(300, 60)]
fn the_average_recovers(#[case] interval: u64, #[case] requests: u64) {
    let mut work = WorkTime::default();
    let now = record(&mut work, 200, 20, 200, false, 0);
    let now = record(&mut work, requests, interval, 26, false, now);
    let average_us = work.average_us(Millis(now));
    assert!((26_000..39_000).contains(&average_us), "{average_us}");
}

/// Guards against a time that outlives the server's requests.
#[test]
fn the_average_is_unknown_without_responses() {
    let mut work = WorkTime::default();
    let now = record(&mut work, 20, 20, 200, false, 0);
    assert_eq!(work.average_us(Millis(now + 10_000)), 0);
    let now = record(&mut work, 16, 20, 30, false, now + 10_000);
    assert_eq!(work.average_us(Millis(now)), 30_000);
}

/// Guards against a service whose overload is never known, because its servers had requests queued from the
/// start.
#[test]
fn the_average_of_an_overloaded_server_is_known() {
    let mut work = WorkTime::default();
    let now = record(&mut work, 150, 10, 900, true, 0);
    assert_eq!(work.average_us(Millis(now)), 30_000);
}
