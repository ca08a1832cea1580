//! Rules of the admission controller that depend on earlier results of its server.

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

const BASELINE_MS: u64 = 50;

fn result(latency: u64, outcome: RequestOutcome) -> RequestResult {
    RequestResult {
        latency: Millis(latency),
        outcome,
    }
}

/// A controller with its current time and the tickets of the running requests.
struct TestServer {
    controller: AdmissionController,
    now: Millis,
    running: Vec<RequestTicket>,
}

impl TestServer {
    /// Creates the controller of a warm server whose latency baseline is [`BASELINE_MS`].
    fn warm(slots: u32) -> TestServer {
        let mut server = TestServer {
            controller: AdmissionController::builder(slots).build(),
            now: Millis(1_000_000),
            running: Vec::new(),
        };
        for _ in 0..200 {
            server.serve(BASELINE_MS, RequestOutcome::Success);
        }
        assert_eq!(server.controller.limit(), slots);
        server
    }

    /// Offers a request and returns whether it runs or is queued.
    fn offer(&mut self, class: PriorityClass, timeout: u64) -> bool {
        let deadline = self.now.plus(Millis(timeout));
        let decision = self
            .controller
            .offer(self.now, RequestOffer { class, deadline });
        if let AdmissionDecision::Run(ticket) = decision {
            self.running.push(ticket);
        }
        !matches!(decision, AdmissionDecision::Refused(_))
    }

    /// Runs one request while no other is running.
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

/// Guards against a server that spends its time on responses that come too late.
#[test]
fn requests_expire_when_they_would_end_late() {
    let mut server = TestServer::warm(1);
    assert!(server.offer(Normal, 10_000));
    assert!(server.offer(Normal, BASELINE_MS + 10));
    assert_eq!(
        server.controller.next_expiry(),
        Some(server.now.plus(Millis(10)))
    );
    server.now = server.now.plus(Millis(9));
    assert!(server.controller.expire(server.now).is_empty());
    server.now = server.now.plus(Millis(1));
    assert_eq!(server.controller.expire(server.now).len(), 1);
}

case_table! {
    /// Guards against dispatch requests that wait for bulk requests to end, and against slots that
    /// stay idle where there are only bulk requests.
    fn bulk_leaves_a_dispatch_slot(slots: u32, earlier: &[(PriorityClass, u64)], expected: usize) {
        let mut server = TestServer::warm(slots);
        for (class, ago) in earlier {
            assert!(server.offer(*class, 10_000));
            let ticket = server.running.pop().expect("a slot is free");
            let abandoned = result(1, RequestOutcome::Abandoned);
            assert!(server.controller.finish(server.now, ticket, abandoned));
            server.now = server.now.plus(Millis(*ago));
        }
        for _ in 0..slots {
            assert!(server.offer(Bulk, 10_000));
        }
        assert_eq!(server.running.len(), expected);
    }
    only_bulk: (2, &[], 2),
    after_normal: (2, &[(Normal, 10)], 2),
    after_dispatch: (2, &[(Dispatch, 10)], 1),
    long_after_dispatch: (2, &[(Dispatch, 10_001)], 2),
    many_slots: (7, &[(Dispatch, 10)], 6),
    single_slot: (1, &[(Dispatch, 10)], 1),
}

case_table! {
    /// Guards against taking a server for cold because of its queue: a request that starts late
    /// times out soon after its start.
    fn only_long_timeouts_count_as_failures(ran: u64, expected: u32) {
        let mut server = TestServer::warm(7);
        for _ in 0..8 {
            server.serve(ran, RequestOutcome::TimedOut);
        }
        assert_eq!(server.controller.limit(), expected);
    }
    cut_short: (BASELINE_MS, 7),
    unanswered: (BASELINE_MS * 10, 1),
}

/// Guards against a server that attracts flows because it fails fast and so has few outstanding
/// requests, and against one that gets no flows long after its failures.
#[test]
fn failures_count_as_load_until_they_decay() {
    let mut server = TestServer::warm(2);
    let idle = server.load();
    for _ in 0..30 {
        server.serve(1, RequestOutcome::ServerError);
    }
    assert!(
        server.load() > 240,
        "load {} while the server fails",
        server.load()
    );
    server.now = server.now.plus(Millis(60_000));
    assert!(
        server.load() <= idle,
        "load {} a minute later",
        server.load()
    );
}

/// Guards against a load that jumps with each request, or that is the same for servers with and
/// without queued requests.
#[test]
fn load_is_a_mean_of_outstanding_requests() {
    let mut server = TestServer::warm(2);
    server.now = server.now.plus(Millis(10_000));
    assert_eq!(server.load(), 0);
    assert!(server.offer(Normal, 60_000) && server.offer(Normal, 60_000));
    assert_eq!(server.load(), 0);
    server.now = server.now.plus(Millis(10_000));
    assert_eq!(server.load(), 127);
    assert!(server.offer(Normal, 60_000));
    server.now = server.now.plus(Millis(10_000));
    assert_eq!(server.load(), 191);
}

/// Returns a ramp after `count` results, and how many of them failed: every fifth if `fails_fifth`,
/// and those with more requests in flight than `capacity`.
fn ramp_after(count: u32, capacity: u32, fails_fifth: bool) -> (WarmupRamp, u32) {
    let mut ramp = WarmupRamp::default();
    let mut failures = 0;
    for number in 1..=count {
        let fails = ramp.allowed() > capacity || (fails_fifth && number % 5 == 0);
        failures += u32::from(fails);
        let outcome = match fails {
            true => RequestOutcome::ServerError,
            false => RequestOutcome::Success,
        };
        ramp.record(7, ramp.epoch(), result(BASELINE_MS, outcome));
    }
    (ramp, failures)
}

case_table! {
    /// Guards against a cold server that is overloaded again and again.
    fn failures_slow_the_ramp(capacity: u32) {
        let (_, failures) = ramp_after(900, capacity, false);
        assert!(failures <= 60, "{failures} of 900 requests failed");
    }
    one: (1),
    three: (3),
    six: (6),
}

/// Guards against a server that is limited because of failures unrelated to load.
#[test]
fn constant_failures_do_not_limit_the_warmup() {
    let (ramp, _) = ramp_after(1_200, 7, true);
    assert_eq!(ramp.allowed(), 7);
}
