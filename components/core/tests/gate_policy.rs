//! Rules of the gate that depend on what it has learned of its server.

mod case_table;

use carobdrum_core::{
    request::{
        AdmissionController,
        AdmissionDecision,
        RequestOffer,
        RequestOutcome,
        RequestResult,
        RequestTicket,
        WarmupRamp, //
    },
    version::PriorityClass::{
        self,
        Bulk,
        Dispatch,
        Normal, //
    },
    Millis,
};

const USUAL: u64 = 50;

fn result(latency: u64, outcome: RequestOutcome) -> RequestResult {
    RequestResult {
        latency: Millis(latency),
        outcome,
    }
}

/// A gate, its time, and the tickets that run.
struct Bench {
    controller: AdmissionController,
    now: Millis,
    running: Vec<RequestTicket>,
}

impl Bench {
    /// Creates the bench of a warm server that has long responded in [`USUAL`] milliseconds.
    fn warm(slots: u32) -> Bench {
        let mut bench = Bench {
            controller: AdmissionController::builder(slots).build(),
            now: Millis(1_000_000),
            running: Vec::new(),
        };
        for _ in 0..200 {
            bench.serve(USUAL, RequestOutcome::Success);
        }
        assert_eq!(bench.controller.limit(), slots);
        bench
    }

    /// Offers a request and returns whether it was admitted.
    fn offer(&mut self, class: PriorityClass, timeout: u64) -> bool {
        let deadline = self.now.plus(Millis(timeout));
        let verdict = self
            .controller
            .offer(self.now, RequestOffer { class, deadline });
        if let AdmissionDecision::Run(ticket) = verdict {
            self.running.push(ticket);
        }
        !matches!(verdict, AdmissionDecision::Refused(_))
    }

    /// Runs one request alone.
    fn serve(&mut self, latency: u64, outcome: RequestOutcome) {
        assert!(self.offer(Normal, 10_000));
        self.now = self.now.plus(Millis(latency));
        let ticket = self.running.pop().expect("a slot is free");
        assert!(self
            .controller
            .finish(self.now, ticket, result(latency, outcome)));
    }

    fn load(&self) -> u8 {
        self.controller.load(self.now)
    }
}

/// Guards against a server that works on responses that come too late.
#[test]
fn hopeless_requests_leave_the_queue() {
    let mut bench = Bench::warm(1);
    assert!(bench.offer(Normal, 10_000));
    assert!(bench.offer(Normal, USUAL + 10));
    assert_eq!(
        bench.controller.next_expiry(),
        Some(bench.now.plus(Millis(10)))
    );
    bench.now = bench.now.plus(Millis(9));
    assert!(bench.controller.expire(bench.now).is_empty());
    bench.now = bench.now.plus(Millis(1));
    assert_eq!(bench.controller.expire(bench.now).len(), 1);
}

case_table! {
    /// Guards against dispatch requests that wait behind bulk, and against slots that stay idle
    /// where there is only bulk.
    fn bulk_leaves_a_slot(slots: u32, earlier: &[(PriorityClass, u64)], expected: usize) {
        let mut bench = Bench::warm(slots);
        for (class, ago) in earlier {
            assert!(bench.offer(*class, 10_000));
            let ticket = bench.running.pop().expect("a slot is free");
            let abandoned = result(1, RequestOutcome::Abandoned);
            assert!(bench.controller.finish(bench.now, ticket, abandoned));
            bench.now = bench.now.plus(Millis(*ago));
        }
        for _ in 0..slots {
            assert!(bench.offer(Bulk, 10_000));
        }
        assert_eq!(bench.running.len(), expected);
    }
    only_bulk: (2, &[], 2),
    after_normal: (2, &[(Normal, 10)], 2),
    after_dispatch: (2, &[(Dispatch, 10)], 1),
    long_after_dispatch: (2, &[(Dispatch, 10_001)], 2),
    many_slots: (7, &[(Dispatch, 10)], 6),
    single_slot: (1, &[(Dispatch, 10)], 1),
}

case_table! {
    /// Guards against a queue that makes its server look cold: a request that starts late is cut
    /// off early.
    fn timeouts_count_after_the_usual_latency(ran: u64, expected: u32) {
        let mut bench = Bench::warm(7);
        for _ in 0..8 {
            bench.serve(ran, RequestOutcome::TimedOut);
        }
        assert_eq!(bench.controller.limit(), expected);
    }
    cut_short: (USUAL, 7),
    unanswered: (USUAL * 10, 1),
}

/// Guards against a server that fails fast, holds few requests, and attracts flows by that; and
/// against one that is avoided for good.
#[test]
fn failures_count_as_load_for_a_while() {
    let mut bench = Bench::warm(2);
    let idle = bench.load();
    for _ in 0..30 {
        bench.serve(1, RequestOutcome::ServerError);
    }
    assert!(bench.load() > 240, "load {} while failing", bench.load());
    bench.now = bench.now.plus(Millis(60_000));
    assert!(bench.load() <= idle, "load {} a minute later", bench.load());
}

/// Guards against loads that jump with each request, and that don't tell waiting servers apart.
#[test]
fn load_is_a_mean_of_held_requests() {
    let mut bench = Bench::warm(2);
    bench.now = bench.now.plus(Millis(10_000));
    assert_eq!(bench.load(), 0);
    assert!(bench.offer(Normal, 60_000) && bench.offer(Normal, 60_000));
    assert_eq!(bench.load(), 0);
    bench.now = bench.now.plus(Millis(10_000));
    assert_eq!(bench.load(), 127);
    assert!(bench.offer(Normal, 60_000));
    bench.now = bench.now.plus(Millis(10_000));
    assert_eq!(bench.load(), 191);
}

/// Returns a ramp after `count` results and how many failed: every fifth if `fails_fifth`, and those
/// with more in flight than the server bears.
fn ramp_after(count: u32, bears: u32, fails_fifth: bool) -> (WarmupRamp, u32) {
    let mut ramp = WarmupRamp::default();
    let mut failures = 0;
    for number in 1..=count {
        let fails = ramp.allowed() > bears || (fails_fifth && number % 5 == 0);
        failures += u32::from(fails);
        let outcome = match fails {
            true => RequestOutcome::ServerError,
            false => RequestOutcome::Success,
        };
        ramp.record(7, ramp.epoch(), result(USUAL, outcome));
    }
    (ramp, failures)
}

case_table! {
    /// Guards against a cold server that gets more than it bears again and again.
    fn failures_slow_the_ramp(bears: u32) {
        let (_, failures) = ramp_after(900, bears, false);
        assert!(failures <= 60, "{failures} of 900 failed");
    }
    one: (1),
    three: (3),
    six: (6),
}

/// Guards against a server held back for failures that have nothing to do with load.
#[test]
fn constant_failures_do_not_hold_back() {
    let (ramp, _) = ramp_after(1_200, 7, true);
    assert_eq!(ramp.allowed(), 7);
}
