//! Admission under schedules in which every step may come twice, late or out of order.

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

/// Bound of the latencies in the schedules, and so of the usual latency.
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
struct Known {
    ticket: RequestTicket,
    class: PriorityClass,
    deadline: Millis,
    phase: Phase,
    /// Number of explicit restarts before the start.
    restarts: u32,
}

/// What a correct gate may do, kept independently of the gate.
struct Model {
    controller: AdmissionController,
    now: Millis,
    slots: u32,
    /// Longest remaining time at which a request may be given up.
    lead: Millis,
    known: Vec<Known>,
    restarts: u32,
    successes: u32,
}

impl Model {
    fn new(slots: u32, early: bool) -> Model {
        let builder = AdmissionController::builder(slots).queue(QUEUE);
        Model {
            controller: builder.early_expiry(early).build(),
            lead: Millis(if early { MAX_LATENCY } else { 0 }),
            now: Millis(1_000),
            slots,
            known: Vec::new(),
            restarts: 0,
            successes: 0,
        }
    }

    fn count(&self, phase: Phase) -> usize {
        let known = self.known.iter();
        known.filter(|known| known.phase == phase).count()
    }

    fn position(&self, ticket: RequestTicket) -> usize {
        let mut known = self.known.iter();
        known
            .position(|known| known.ticket == ticket)
            .expect("the gate invented a ticket")
    }

    /// Checks the limits at the start of a request, which the model already counts as running.
    fn check_start(&self) {
        let running = self.count(Phase::Running) as u32;
        assert!(
            running <= self.slots,
            "{running} run on {} slots",
            self.slots
        );
        // The ramp allows `n` in flight after 1 + 2 + ... + (n - 1) successes at the earliest.
        let needed = running * (running - 1) / 2;
        assert!(
            needed <= self.successes,
            "{running} run after {} successes",
            self.successes
        );
    }

    fn check_is_next(&self, class: PriorityClass, deadline: Millis) {
        let waiting = self
            .known
            .iter()
            .filter(|known| known.phase == Phase::Queued);
        let overtaken = waiting
            .filter(|known| known.deadline > self.now.plus(self.lead))
            .find(|known| (known.class, known.deadline) < (class, deadline));
        assert!(
            overtaken.is_none(),
            "{class:?} at {deadline:?} overtook {overtaken:?}"
        );
    }

    fn offer(&mut self, class: PriorityClass, deadline: Millis) {
        let verdict = self
            .controller
            .offer(self.now, RequestOffer { class, deadline });
        let (ticket, phase) = match verdict {
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
            "a request was admitted after its deadline"
        );
        assert!(
            self.known.iter().all(|known| known.ticket != ticket),
            "a ticket was issued twice"
        );
        self.known.push(Known {
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
            self.known[at].phase,
            Phase::Queued,
            "a started request was evicted"
        );
        assert!(
            self.known[at].class > class,
            "an equal or higher class was evicted"
        );
        let mut waiting = self
            .known
            .iter()
            .filter(|known| known.phase == Phase::Queued);
        assert!(waiting.all(|known| known.class <= self.known[at].class));
        self.known[at].phase = Phase::Ended;
    }

    fn finish(&mut self, at: usize, result: RequestResult) {
        let known = self.known[at];
        let held = self.controller.finish(self.now, known.ticket, result);
        assert_eq!(held, known.phase == Phase::Running, "finish of {known:?}");
        if !held {
            return;
        }
        self.known[at].phase = Phase::Ended;
        if result.outcome == RequestOutcome::ConnectionRefused && known.restarts == self.restarts {
            self.successes = 0;
            self.restarts += 1;
        } else if result.outcome == RequestOutcome::Success && known.restarts == self.restarts {
            self.successes += 1;
        }
    }

    fn cancel(&mut self, at: usize) {
        let known = self.known[at];
        let expected = match known.phase {
            Phase::Queued => CancelEffect::NeverStarted,
            Phase::Running => CancelEffect::Stopped,
            Phase::Ended => CancelEffect::Stale,
        };
        assert_eq!(self.controller.cancel(self.now, known.ticket), expected);
        self.known[at].phase = Phase::Ended;
    }

    fn expire(&mut self) {
        for ticket in self.controller.expire(self.now) {
            let at = self.position(ticket);
            assert_eq!(
                self.known[at].phase,
                Phase::Queued,
                "a started request expired"
            );
            assert!(
                self.known[at].deadline <= self.now.plus(self.lead),
                "a request expired early"
            );
            self.known[at].phase = Phase::Ended;
        }
        let mut waiting = self
            .known
            .iter()
            .filter(|known| known.phase == Phase::Queued);
        assert!(
            waiting.all(|known| known.deadline > self.now),
            "an expired request still waits"
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
            let known = self.known[at];
            assert_eq!(known.phase, Phase::Queued, "{known:?} was started twice");
            assert!(
                known.deadline > self.now,
                "{known:?} was started after its deadline"
            );
            self.check_is_next(known.class, known.deadline);
            self.known[at].phase = Phase::Running;
            self.known[at].restarts = self.restarts;
            self.check_start();
        }
    }

    fn apply(&mut self, step: &Step) {
        let picked = |pick: usize, len: usize| (len > 0).then(|| len - 1 - pick % len);
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
                if let Some(at) = picked(pick, self.known.len()) {
                    self.finish(at, RequestResult { latency, outcome });
                }
            }
            Step::Cancel { pick } => {
                if let Some(at) = picked(pick, self.known.len()) {
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
            "a ticket was lost"
        );
        assert!(
            self.controller.queued() <= QUEUE,
            "the queue outgrew its bound"
        );
    }

    /// Ends everything that runs or waits; a lost ticket would keep the gate from becoming empty.
    fn drain(&mut self) {
        self.controller.set_slots(MAX_SLOTS);
        self.slots = MAX_SLOTS;
        for _ in 0..self.known.len() {
            self.expire();
            self.start_all();
            let result = RequestResult {
                latency: Millis(10),
                outcome: RequestOutcome::Abandoned,
            };
            for at in 0..self.known.len() {
                if self.known[at].phase == Phase::Running {
                    self.finish(at, result);
                }
            }
        }
        assert!(self.known.iter().all(|known| known.phase == Phase::Ended));
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

    /// Guards against requests above the slots or the warm-up, lost tickets, requests run twice,
    /// refusals of started requests, and overtaking of more important requests.
    #[test]
    fn gate_keeps_its_invariants(slots in 0..=MAX_SLOTS, early: bool, steps in steps()) {
        let mut model = Model::new(slots, early);
        for step in &steps {
            model.apply(step);
        }
        model.drain();
    }
}
