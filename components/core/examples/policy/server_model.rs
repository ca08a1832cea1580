//! Simulation of one agent and its server with requests that arrive at a given rate.

use carobdrum_core::{
    request::{
        AdaptiveLimit,
        AdmissionController,
        AdmissionDecision,
        AimdLimit,
        GradientLimit,
        RampGrowth,
        RequestOffer,
        RequestOutcome,
        RequestResult,
        RequestTicket,
        RetryBudget,
        WarmupRamp, //
    },
    version::PriorityClass,
    Millis,
};
use carobdrum_model::EventQueue;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

use crate::{
    figures::{
        exponential,
        percentile,
        ratio,
        service_time, //
    },
    server_case::{
        LimitChoice,
        RampChoice,
        ServerCase,
        ServerKind, //
    },
};

const RUN_END: Millis = Millis(80_000);
const MEASURED_FROM: Millis = Millis(20_000);
const COLD_START: Millis = Millis(20_000);

const SERVICE_MS: f64 = 50.0;
/// Mean time for which a bulk request occupies its slot.
const BULK_MS: f64 = 500.0;
/// Share of each class in the demand, measured in slot time, and its timeout in milliseconds.
const CLASS_SHARES: [(PriorityClass, f64, u64); 3] = [
    (PriorityClass::Dispatch, 0.1, 1_000),
    (PriorityClass::Normal, 0.5, 2_000),
    (PriorityClass::Bulk, 0.4, 10_000),
];

/// Share of errors without overload.
const ERROR_SHARE: f64 = 0.002;
/// Share of errors, and of extra latency below, for each request above the server's capacity.
const OVERLOAD_ERRORS: f64 = 0.05;
const OVERLOAD_SLOWDOWN: f64 = 0.1;

const REFUSAL_DURATION: Millis = Millis(300);
const WARMUP_DURATION: Millis = Millis(10_000);
const WARMUP_REQUESTS: f64 = 60.0;
/// Extra latency of a completely cold server, relative to the latency of a warm one.
const COLD_SLOWDOWN: f64 = 4.0;
const COLD_ERROR: Millis = Millis(20);

/// Figures of one run.
#[derive(Clone, Debug)]
pub(crate) struct ServerFigures {
    /// Slot time of responses within the deadline, relative to the server's capacity.
    pub(crate) goodput: f64,
    pub(crate) dispatch_p50: u64,
    pub(crate) dispatch_p99: u64,
    /// Share of dispatch requests without a successful response.
    pub(crate) dispatch_lost: f64,
    pub(crate) retries: f64,
    /// Largest ratio of requests in flight to the cold server's capacity.
    pub(crate) cold_peak: f64,
    /// Requests that failed because more ran than the cold server's capacity.
    pub(crate) cold_failures: u64,
    /// Time from becoming cold until limit and capacity have reached the slots; `None` if they
    /// never did.
    pub(crate) full_after: Option<Millis>,
    /// Limit and capacity over the time since becoming cold.
    pub(crate) timeline: Vec<(Millis, u32, u32)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Done(RequestTicket),
    Sample,
}

struct PendingRequest {
    ticket: RequestTicket,
    class: usize,
    arrived: Millis,
    deadline: Millis,
    retry: bool,
    result: Option<RequestResult>,
}

#[derive(Default)]
struct Counts {
    requests: u64,
    retries: u64,
    good_ms: f64,
    dispatch: u64,
    dispatch_latencies: Vec<u64>,
    cold_peak: f64,
    cold_failures: u64,
    full_after: Option<Millis>,
    timeline: Vec<(Millis, u32, u32)>,
}

/// State of one run of one case.
pub(crate) struct ServerModel {
    case: ServerCase,
    rng: SmallRng,
    events: EventQueue<Event>,
    controller: AdmissionController,
    /// Limit that replaces the controller's own in cases without warm-up.
    outer_limit: AdaptiveLimit,
    budget: RetryBudget,
    pending: Vec<PendingRequest>,
    warmup_level: f64,
    counts: Counts,
}

impl ServerModel {
    /// Runs the case and returns its figures.
    pub(crate) fn run(case: ServerCase, seed: u64) -> ServerFigures {
        let limit = limit_of(case);
        let growth = match case.ramp {
            RampChoice::BySuccess => RampGrowth::BySuccess,
            _ => RampGrowth::WithBackoff,
        };
        let inner = match has_ramp(case) {
            true => limit.clone(),
            false => AdaptiveLimit::Fixed,
        };
        let controller = AdmissionController::builder(case.slots)
            .limit(inner)
            .ramp(WarmupRamp::new(growth))
            .bulk_reserve(case.bulk_reserve)
            .early_expiry(case.early_expiry)
            .build();
        let mut model = ServerModel {
            case,
            rng: SmallRng::seed_from_u64(seed),
            events: EventQueue::new(),
            controller,
            outer_limit: limit,
            budget: RetryBudget::new(Millis(0)),
            pending: Vec::new(),
            warmup_level: 1.0,
            counts: Counts::default(),
        };
        model.simulate();
        model.figures()
    }

    fn simulate(&mut self) {
        for class in 0..CLASS_SHARES.len() {
            self.events.add(Millis(0), Event::Arrive(class));
        }
        self.events.add(Millis(0), Event::Sample);
        while let Some((now, event)) = self.events.next(RUN_END) {
            self.warm_by_time(now);
            match event {
                Event::Arrive(class) => self.arrive(now, class),
                Event::Done(ticket) => self.done(now, ticket),
                Event::Sample => self.sample(now),
            }
            self.start_all(now);
        }
    }

    fn arrive(&mut self, now: Millis, class: usize) {
        let (_, share, timeout) = CLASS_SHARES[class];
        let demand = self.case.demand * share * f64::from(self.nominal_capacity());
        let next = exponential(self.rng.random(), slot_time_ms(class) / demand);
        self.events.add(now.plus(next), Event::Arrive(class));
        self.budget.count_request();
        let measured = u64::from(now >= MEASURED_FROM);
        self.counts.requests += measured;
        self.counts.dispatch += measured * u64::from(class == 0);
        self.offer(now, class, now, now.plus(Millis(timeout)), false);
    }

    fn offer(&mut self, now: Millis, class: usize, arrived: Millis, deadline: Millis, retry: bool) {
        self.expire(now);
        let offer = RequestOffer {
            class: CLASS_SHARES[class].0,
            deadline,
        };
        let (ticket, runs) = match self.controller.offer(now, offer) {
            AdmissionDecision::Run(ticket) => (ticket, true),
            AdmissionDecision::Queued { ticket, evicted } => {
                self.pending
                    .retain(|pending| Some(pending.ticket) != evicted);
                (ticket, false)
            }
            AdmissionDecision::Refused(_) => return,
        };
        self.pending.push(PendingRequest {
            ticket,
            class,
            arrived,
            deadline,
            retry,
            result: None,
        });
        if runs {
            self.start(now, ticket);
        }
    }

    fn expire(&mut self, now: Millis) {
        for ticket in self.controller.expire(now) {
            self.pending.retain(|pending| pending.ticket != ticket);
        }
    }

    fn start_all(&mut self, now: Millis) {
        if !has_ramp(self.case) {
            self.controller.set_slots(self.outer_slots());
        }
        self.expire(now);
        while let Some(ticket) = self.controller.start_next(now) {
            self.start(now, ticket);
        }
    }

    fn outer_slots(&self) -> u32 {
        match self.case.ramp {
            RampChoice::Oracle => self.capacity(),
            RampChoice::LimitOnly => self.outer_limit.limit(self.case.slots),
            _ => self.case.slots,
        }
    }

    fn find_pending(&self, ticket: RequestTicket) -> usize {
        let mut pending = self.pending.iter();
        pending
            .position(|pending| pending.ticket == ticket)
            .expect("the ticket has a pending request")
    }

    fn start(&mut self, now: Millis, ticket: RequestTicket) {
        let at = self.find_pending(ticket);
        let PendingRequest {
            class, deadline, ..
        } = self.pending[at];
        let (slot_time, mut result) = self.serve(now, class);
        let mut end = now.plus(slot_time);
        if end > deadline {
            end = deadline;
            result.outcome = RequestOutcome::TimedOut;
            result.latency = result.latency.min(deadline.since(now));
        }
        self.pending[at].result = Some(result);
        self.events.add(end, Event::Done(ticket));
    }

    /// Returns how long a request occupies its slot, and its result.
    fn serve(&mut self, now: Millis, class: usize) -> (Millis, RequestResult) {
        let in_flight = self.controller.in_flight();
        let capacity = self.capacity();
        let excess = f64::from(in_flight.saturating_sub(capacity));
        if self.case.is_cold() {
            let load_ratio = f64::from(in_flight) / f64::from(capacity);
            if now >= COLD_START.plus(Millis(1_000)) {
                self.counts.cold_peak = self.counts.cold_peak.max(load_ratio);
            }
            if self.is_refusing(now) {
                return failure(Millis(1), RequestOutcome::ConnectionRefused);
            }
            if excess > 0.0 {
                self.counts.cold_failures += 1;
                return failure(COLD_ERROR, RequestOutcome::ServerError);
            }
        }
        if self
            .rng
            .random_bool((ERROR_SHARE + OVERLOAD_ERRORS * excess).min(1.0))
        {
            return failure(Millis(SERVICE_MS as u64), RequestOutcome::ServerError);
        }
        let overload_ratio = (f64::from(in_flight) / f64::from(capacity)).max(1.0);
        let slowdown = overload_ratio * (1.0 + OVERLOAD_SLOWDOWN * excess);
        let slowdown = slowdown * (1.0 + COLD_SLOWDOWN * (1.0 - self.warmup_level));
        let latency = service_time(self.rng.random(), SERVICE_MS * slowdown);
        let slot_time = match class {
            2 => service_time(self.rng.random(), BULK_MS * slowdown).max(latency),
            _ => latency,
        };
        let outcome = RequestOutcome::Success;
        (slot_time, RequestResult { latency, outcome })
    }

    fn done(&mut self, now: Millis, ticket: RequestTicket) {
        let at = self.find_pending(ticket);
        let pending = self.pending.swap_remove(at);
        let result = pending.result.expect("the request was started");
        self.outer_limit
            .record(now, self.case.slots, self.controller.in_flight(), result);
        self.controller
            .finish(now, ticket, self.result_for_controller(result));
        if result.outcome == RequestOutcome::Success {
            self.succeed(now, &pending);
            return;
        }
        // Timed-out requests have no time left for a retry, and bulk requests are not retried.
        let repeats =
            result.outcome != RequestOutcome::TimedOut && pending.class < 2 && !pending.retry;
        if repeats && (!self.case.budget || self.budget.take_retry(now)) {
            self.counts.retries += u64::from(now >= MEASURED_FROM);
            self.offer(now, pending.class, pending.arrived, pending.deadline, true);
        }
    }

    /// Returns the result that the controller gets: without warm-up always an ordinary success.
    fn result_for_controller(&self, result: RequestResult) -> RequestResult {
        if has_ramp(self.case) {
            return result;
        }
        RequestResult {
            latency: Millis(SERVICE_MS as u64),
            outcome: RequestOutcome::Success,
        }
    }

    fn succeed(&mut self, now: Millis, pending: &PendingRequest) {
        if matches!(self.case.server, ServerKind::ColdByRequests { .. }) {
            self.warmup_level = (self.warmup_level + 1.0 / WARMUP_REQUESTS).min(1.0);
        }
        if now < MEASURED_FROM {
            return;
        }
        self.counts.good_ms += slot_time_ms(pending.class);
        if pending.class == 0 {
            self.counts
                .dispatch_latencies
                .push(now.since(pending.arrived).0);
        }
    }

    fn warm_by_time(&mut self, now: Millis) {
        if now < COLD_START || !self.case.is_cold() {
            return;
        }
        if self.counts.timeline.is_empty() {
            self.warmup_level = 0.0;
            self.counts
                .timeline
                .push((Millis(0), self.controller.limit(), self.capacity()));
        }
        if matches!(self.case.server, ServerKind::ColdByTime { .. }) {
            self.warmup_level =
                (now.since(COLD_START).0 as f64 / WARMUP_DURATION.0 as f64).min(1.0);
        }
    }

    fn is_refusing(&self, now: Millis) -> bool {
        let refuses_first = match self.case.server {
            ServerKind::Constant(_) => false,
            ServerKind::ColdByTime { refuses_first }
            | ServerKind::ColdByRequests { refuses_first } => refuses_first,
        };
        refuses_first && now >= COLD_START && now < COLD_START.plus(REFUSAL_DURATION)
    }

    fn nominal_capacity(&self) -> u32 {
        match self.case.server {
            ServerKind::Constant(capacity) => capacity,
            _ => self.case.slots,
        }
    }

    /// Returns how many requests the server can run at full speed now.
    fn capacity(&self) -> u32 {
        let warm_capacity = (f64::from(self.nominal_capacity()) * self.warmup_level + 1e-9) as u32;
        warm_capacity.max(1)
    }

    fn sample(&mut self, now: Millis) {
        self.events.add(now.plus(Millis(50)), Event::Sample);
        if now < MEASURED_FROM {
            return;
        }
        let limit = self.controller.limit();
        if !self.case.is_cold() {
            return;
        }
        let since = now.since(COLD_START);
        self.counts.timeline.push((since, limit, self.capacity()));
        let full = limit >= self.case.slots && self.capacity() >= self.case.slots;
        if full && self.counts.full_after.is_none() {
            self.counts.full_after = Some(since);
        }
    }

    fn figures(mut self) -> ServerFigures {
        let capacity_ms =
            RUN_END.since(MEASURED_FROM).0 as f64 * f64::from(self.nominal_capacity());
        let counts = &mut self.counts;
        let good = counts.dispatch_latencies.len() as u64;
        ServerFigures {
            goodput: counts.good_ms / capacity_ms,
            dispatch_p50: percentile(&mut counts.dispatch_latencies, 50),
            dispatch_p99: percentile(&mut counts.dispatch_latencies, 99),
            dispatch_lost: (1.0 - ratio(good, counts.dispatch)).max(0.0),
            retries: ratio(counts.retries, counts.requests),
            cold_peak: counts.cold_peak,
            cold_failures: counts.cold_failures,
            full_after: counts.full_after,
            timeline: std::mem::take(&mut counts.timeline),
        }
    }
}

fn has_ramp(case: ServerCase) -> bool {
    matches!(case.ramp, RampChoice::BySuccess | RampChoice::WithBackoff)
}

fn limit_of(case: ServerCase) -> AdaptiveLimit {
    match case.limit {
        LimitChoice::Fixed => AdaptiveLimit::Fixed,
        LimitChoice::Aimd => AdaptiveLimit::Aimd(AimdLimit::new(case.slots)),
        LimitChoice::Gradient => AdaptiveLimit::Gradient(GradientLimit::new(case.slots)),
    }
}

fn slot_time_ms(class: usize) -> f64 {
    match class {
        2 => BULK_MS,
        _ => SERVICE_MS,
    }
}

fn failure(latency: Millis, outcome: RequestOutcome) -> (Millis, RequestResult) {
    (latency, RequestResult { latency, outcome })
}
