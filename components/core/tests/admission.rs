//! Property test of the admission controller: steps may be repeated, late or out of order.

use carobdrum_core::{
    request::{
        AdmissionController,
        AdmissionDecision,
        CancelEffect,
        RequestOffer,
        RequestOutcome,
        RequestResult,
        RequestTicket, //
    },
    version::PriorityClass,
    Millis,
};
use proptest::prelude::*;

const QUEUE: usize = 4;
const MAX_SLOTS: u32 = 8;

/// Upper bound of the latencies in the generated steps, and thus of the latency baseline.
const MAX_LATENCY: u64 = 200;

#[derive(Clone, Debug)]
enum Step {
    Offer {
        class: u8,
        timeout: u64,
    },
    Finish {
        pick: usize,
        latency: u64,
        outcome: u8,
    },
    Cancel {
        pick: usize,
    },
    Expire,
    Start,
    SetSlots(u32),
    Restart,
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0u8..3, 0u64..400).prop_map(|(class, timeout)| Step::Offer { class, timeout }),
        8 => (0usize..64, 1u64..MAX_LATENCY, 0u8..12)
            .prop_map(|(pick, latency, outcome)| Step::Finish { pick, latency, outcome }),
        2 => (0usize..64).prop_map(|pick| Step::Cancel { pick }),
        1 => Just(Step::Expire),
        8 => Just(Step::Start),
        1 => (0..=MAX_SLOTS).prop_map(Step::SetSlots),
        1 => Just(Step::Restart),
        2 => (0u64..300).prop_map(Step::Advance),
    ];
    prop::collection::vec(step, 1..200)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Queued,
    Running,
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct TrackedRequest {
    ticket: RequestTicket,
    class: PriorityClass,
    deadline: Millis,
    phase: Phase,
    /// Number of warm-up restarts before the request started.
    restarts: u32,
}

/// Reference model of a correct controller, checked against the actual one at every step.
struct ReferenceModel {
    controller: AdmissionController,
    now: Millis,
    slots: u32,
    /// Longest remaining time with which a queued request may expire.
    expiry_lead: Millis,
    requests: Vec<TrackedRequest>,
    restarts: u32,
    successes: u32,
}

impl ReferenceModel {
    fn new(slots: u32, early: bool) -> ReferenceModel {
        let builder = AdmissionController::builder(slots).queue(QUEUE);
        ReferenceModel {
            controller: builder.early_expiry(early).build(),
            expiry_lead: Millis(if early { MAX_LATENCY } else { 0 }),
            now: Millis(1_000),
            slots,
            requests: Vec::new(),
            restarts: 0,
            successes: 0,
        }
    }

    fn count(&self, phase: Phase) -> usize {
        let requests = self.requests.iter();
        requests.filter(|request| request.phase == phase).count()
    }

    fn position(&self, ticket: RequestTicket) -> usize {
        let mut requests = self.requests.iter();
        requests
            .position(|request| request.ticket == ticket)
            .expect("the ticket belongs to an offered request")
    }

    /// Checks the limits after a request has started, which the model already counts as running.
    fn check_start(&self) {
        let running = self.count(Phase::Running) as u32;
        assert!(
            running <= self.slots,
            "{running} requests run on {} slots",
            self.slots
        );
        // The ramp allows `n` in flight after 1 + 2 + ... + (n - 1) successes at the earliest.
        let needed = running * (running - 1) / 2;
        assert!(
            needed <= self.successes,
            "{running} requests run after {} successes",
            self.successes
        );
    }

    fn check_is_next(&self, class: PriorityClass, deadline: Millis) {
        let waiting = self
            .requests
            .iter()
            .filter(|request| request.phase == Phase::Queued);
        let overtaken = waiting
            .filter(|request| request.deadline > self.now.plus(self.expiry_lead))
            .find(|request| (request.class, request.deadline) < (class, deadline));
        assert!(
            overtaken.is_none(),
            "a request with class {class:?} and deadline {deadline:?} overtook {overtaken:?}"
        );
    }

    fn offer(&mut self, class: PriorityClass, deadline: Millis) {
        let decision = self
            .controller
            .offer(self.now, RequestOffer { class, deadline });
        let (ticket, phase) = match decision {
            AdmissionDecision::Refused(_) => return,
            AdmissionDecision::Run(ticket) => {
                self.check_is_next(class, deadline);
                (ticket, Phase::Running)
            }
            AdmissionDecision::Queued { ticket, evicted } => {
                if let Some(evicted) = evicted {
                    self.check_evicted(evicted, class);
                }
                (ticket, Phase::Queued)
            }
        };
        assert!(
            deadline > self.now,
            "a request was admitted after its deadline {deadline:?}"
        );
        assert!(
            self.requests.iter().all(|request| request.ticket != ticket),
            "the same ticket was issued twice"
        );
        self.requests.push(TrackedRequest {
            ticket,
            class,
            deadline,
            phase,
            restarts: self.restarts,
        });
        if phase == Phase::Running {
            self.check_start();
        }
    }

    fn check_evicted(&mut self, evicted: RequestTicket, class: PriorityClass) {
        let at = self.position(evicted);
        assert_eq!(
            self.requests[at].phase,
            Phase::Queued,
            "a started request was evicted"
        );
        assert!(
            self.requests[at].class > class,
            "a request of the same or a higher class was evicted"
        );
        let mut waiting = self
            .requests
            .iter()
            .filter(|request| request.phase == Phase::Queued);
        assert!(waiting.all(|request| request.class <= self.requests[at].class));
        self.requests[at].phase = Phase::Ended;
    }

    fn finish(&mut self, at: usize, result: RequestResult) {
        let request = self.requests[at];
        let had_slot = self.controller.finish(self.now, request.ticket, result);
        assert_eq!(
            had_slot,
            request.phase == Phase::Running,
            "finish of {request:?}"
        );
        if !had_slot {
            return;
        }
        self.requests[at].phase = Phase::Ended;
        if result.outcome == RequestOutcome::ConnectionRefused && request.restarts == self.restarts
        {
            self.successes = 0;
            self.restarts += 1;
        } else if result.outcome == RequestOutcome::Success && request.restarts == self.restarts {
            self.successes += 1;
        }
    }

    fn cancel(&mut self, at: usize) {
        let request = self.requests[at];
        let expected = match request.phase {
            Phase::Queued => CancelEffect::NeverStarted,
            Phase::Running => CancelEffect::Stopped,
            Phase::Ended => CancelEffect::Stale,
        };
        assert_eq!(self.controller.cancel(self.now, request.ticket), expected);
        self.requests[at].phase = Phase::Ended;
    }

    fn expire(&mut self) {
        for ticket in self.controller.expire(self.now) {
            let at = self.position(ticket);
            assert_eq!(
                self.requests[at].phase,
                Phase::Queued,
                "a started request expired"
            );
            assert!(
                self.requests[at].deadline <= self.now.plus(self.expiry_lead),
                "a request expired early"
            );
            self.requests[at].phase = Phase::Ended;
        }
        let mut waiting = self
            .requests
            .iter()
            .filter(|request| request.phase == Phase::Queued);
        assert!(
            waiting.all(|request| request.deadline > self.now),
            "a request is still queued after its deadline"
        );
    }

    fn restart(&mut self) {
        self.controller.restart_warmup();
        self.restarts += 1;
        self.successes = 0;
    }

    fn start_all(&mut self) {
        while let Some(ticket) = self.controller.start_next(self.now) {
            let at = self.position(ticket);
            let request = self.requests[at];
            assert_eq!(
                request.phase,
                Phase::Queued,
                "{request:?} was started twice"
            );
            assert!(
                request.deadline > self.now,
                "{request:?} was started after its deadline"
            );
            self.check_is_next(request.class, request.deadline);
            self.requests[at].phase = Phase::Running;
            self.requests[at].restarts = self.restarts;
            self.check_start();
        }
    }

    fn apply(&mut self, step: &Step) {
        let index_of = |pick: usize, len: usize| (len > 0).then(|| len - 1 - pick % len);
        match *step {
            Step::Offer { class, timeout } => {
                self.offer(class_of(class), self.now.plus(Millis(timeout)));
            }
            Step::Finish {
                pick,
                latency,
                outcome,
            } => {
                let latency = Millis(latency);
                let outcome = outcome_of(outcome);
                if let Some(at) = index_of(pick, self.requests.len()) {
                    self.finish(at, RequestResult { latency, outcome });
                }
            }
            Step::Cancel { pick } => {
                if let Some(at) = index_of(pick, self.requests.len()) {
                    self.cancel(at);
                }
            }
            Step::Expire => self.expire(),
            Step::Start => self.start_all(),
            Step::SetSlots(slots) => {
                self.controller.set_slots(slots);
                self.slots = slots;
            }
            Step::Restart => self.restart(),
            Step::Advance(span) => self.now = self.now.plus(Millis(span)),
        }
        assert_eq!(
            self.controller.in_flight() as usize,
            self.count(Phase::Running)
        );
        assert_eq!(
            self.controller.queued(),
            self.count(Phase::Queued),
            "the number of queued requests is wrong"
        );
        assert!(
            self.controller.queued() <= QUEUE,
            "the queue exceeds its capacity"
        );
    }

    /// Ends all running and queued requests; a lost ticket would keep the controller from emptying.
    fn drain(&mut self) {
        self.controller.set_slots(MAX_SLOTS);
        self.slots = MAX_SLOTS;
        for _ in 0..self.requests.len() {
            self.expire();
            self.start_all();
            let result = RequestResult {
                latency: Millis(10),
                outcome: RequestOutcome::Abandoned,
            };
            for at in 0..self.requests.len() {
                if self.requests[at].phase == Phase::Running {
                    self.finish(at, result);
                }
            }
        }
        assert!(self
            .requests
            .iter()
            .all(|request| request.phase == Phase::Ended));
        assert_eq!(
            (self.controller.in_flight(), self.controller.queued()),
            (0, 0)
        );
    }
}

fn class_of(number: u8) -> PriorityClass {
    match number {
        0 => PriorityClass::Dispatch,
        1 => PriorityClass::Normal,
        _ => PriorityClass::Bulk,
    }
}

fn outcome_of(number: u8) -> RequestOutcome {
    match number {
        0 => RequestOutcome::ServerError,
        1 => RequestOutcome::ConnectionRefused,
        2 => RequestOutcome::ConnectionReset,
        3 => RequestOutcome::TimedOut,
        4 => RequestOutcome::Abandoned,
        _ => RequestOutcome::Success,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against more running requests than the slots or the warm-up allow, lost tickets,
    /// requests that run twice, eviction or expiry of started requests, and requests that overtake
    /// others of a higher priority.
    #[test]
    fn controller_keeps_its_invariants(slots in 0..=MAX_SLOTS, early: bool, steps in steps()) {
        let mut model = ReferenceModel::new(slots, early);
        for step in &steps {
            model.apply(step);
        }
        model.drain();
    }
}
