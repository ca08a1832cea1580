//! Simulation of one pool: flows, agents with their servers, and balancers.

use carobdrum_core::{
    connection::{
        decide_redirect,
        pick_targets,
        RedirectDecision,
        RedirectInput,
        TargetWeight, //
    },
    request::{
        AdmissionController,
        AdmissionDecision,
        RequestOffer,
        RequestOutcome,
        RequestResult,
        RequestTicket, //
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
    load_signal::{
        LoadSignal, //
        SignalMeter,
    },
    pool_case::{
        LoadKind,
        Placement,
        PoolShape, //
    },
};

const RUN_END: Millis = Millis(120_000);
const MEASURED_FROM: Millis = Millis(30_000);
const WINDOW: Millis = Millis(1_000);
const SAMPLE_INTERVAL: Millis = Millis(10);
const REPORT_INTERVAL: Millis = Millis(1_000);

const SERVICE_MS: f64 = 50.0;
const THINK_MS: f64 = 950.0;
const REQUESTS_PER_FLOW: f64 = 30.0;
const UTILISATION: f64 = 0.7;
const TIMEOUT: Millis = Millis(5_000);

const DOWNLOAD_SHARE: f64 = 0.1;
const DOWNLOAD_FACTOR: f64 = 40.0;
const SLOW_FACTOR: f64 = 4.0;
const FAST_FAILURE: Millis = Millis(1);
const BURST_PERIOD_MS: u64 = 5_000;
const BURST_LENGTH_MS: u64 = 1_000;
const BURST_FACTOR: f64 = 3.0;

/// Figures of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolFigures {
    /// Ratio of the largest to the mean number of outstanding requests per target, averaged over
    /// windows of one second.
    pub(crate) imbalance: f64,
    /// Share of the targets' time in which they have more outstanding requests than slots.
    pub(crate) over_slots: f64,
    /// Share of requests refused, evicted or expired.
    pub(crate) refused: f64,
    /// Share of requests with a 5xx response.
    pub(crate) failed: f64,
    /// Percentiles of the time that started requests were queued, in milliseconds.
    pub(crate) wait_p50: u64,
    pub(crate) wait_p99: u64,
    /// Share of flows that were redirected.
    pub(crate) redirected: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    SendRequest(usize),
    Done(usize, RequestTicket),
    Report,
    Sample,
}

struct Flow {
    agent: usize,
    requests_left: u32,
    downloads: bool,
}

struct PendingRequest {
    ticket: RequestTicket,
    flow: usize,
    arrived: Millis,
    result: Option<RequestResult>,
}

struct Agent {
    controller: AdmissionController,
    meter: SignalMeter,
    flows: u32,
    pending: Vec<PendingRequest>,
    window_outstanding: u64,
}

#[derive(Default)]
struct Counts {
    windows: u64,
    imbalance_sum: f64,
    samples: u64,
    over_slots: u64,
    requests: u64,
    refused: u64,
    failed: u64,
    flows: u64,
    redirected: u64,
    waits: Vec<u64>,
}

/// State of one run of one case.
pub(crate) struct PoolModel {
    shape: PoolShape,
    kind: LoadKind,
    placement: Placement,
    rng: SmallRng,
    events: EventQueue<Event>,
    agents: Vec<Agent>,
    flows: Vec<Flow>,
    /// Outstanding requests and warm-up level of each target, as reported once a second.
    reports: Vec<(usize, u8)>,
    /// Load of each target that each balancer last saw in a response.
    seen_loads: Vec<Vec<u8>>,
    last_targets: Vec<usize>,
    counts: Counts,
}

impl PoolModel {
    /// Runs the case and returns its figures.
    pub(crate) fn run(
        shape: PoolShape,
        kind: LoadKind,
        placement: Placement,
        seed: u64,
    ) -> PoolFigures {
        let signal = signal_of(placement);
        let agents = (0..shape.targets).map(|_| Agent {
            controller: AdmissionController::builder(shape.slots).build(),
            meter: SignalMeter::new(signal),
            flows: 0,
            pending: Vec::new(),
            window_outstanding: 0,
        });
        let mut rng = SmallRng::seed_from_u64(seed);
        let last_targets = (0..shape.balancers).map(|_| rng.random_range(0..shape.targets));
        let last_targets = last_targets.collect();
        let mut model = PoolModel {
            shape,
            kind,
            placement,
            rng,
            events: EventQueue::new(),
            agents: agents.collect(),
            flows: Vec::new(),
            reports: vec![(0, 255); shape.targets],
            // A balancer that doesn't know the load of the second candidate yet sends 255, so that
            // the first one accepts.
            seen_loads: vec![vec![255; shape.targets]; shape.balancers],
            last_targets,
            counts: Counts::default(),
        };
        model.simulate();
        model.figures()
    }

    fn simulate(&mut self) {
        self.events.add(Millis(0), Event::Arrive);
        self.events.add(Millis(0), Event::Report);
        self.events.add(MEASURED_FROM, Event::Sample);
        while let Some((now, event)) = self.events.next(RUN_END) {
            match event {
                Event::Arrive => self.arrive(now),
                Event::SendRequest(flow) => self.send_request(now, flow),
                Event::Done(agent, ticket) => self.done(now, agent, ticket),
                Event::Report => self.report(now),
                Event::Sample => self.sample(now),
            }
        }
    }

    fn is_measured(now: Millis) -> bool {
        now >= MEASURED_FROM
    }

    /// Returns the mean time between new flows, from the utilisation and the kind of load.
    fn mean_interarrival_ms(&self, now: Millis) -> f64 {
        let slots = self.shape.targets as f64 * f64::from(self.shape.slots);
        let mean_service = match self.kind {
            LoadKind::Skewed => SERVICE_MS * (1.0 + DOWNLOAD_SHARE * (DOWNLOAD_FACTOR - 1.0)),
            _ => SERVICE_MS,
        };
        let interarrival = mean_service * REQUESTS_PER_FLOW / (slots * UTILISATION);
        if self.kind != LoadKind::Bursty {
            return interarrival;
        }
        let burst_share = BURST_LENGTH_MS as f64 / BURST_PERIOD_MS as f64;
        if now.0 % BURST_PERIOD_MS < BURST_LENGTH_MS {
            interarrival / BURST_FACTOR
        } else {
            interarrival * (1.0 - burst_share) / (1.0 - burst_share * BURST_FACTOR)
        }
    }

    fn arrive(&mut self, now: Millis) {
        let next = exponential(self.rng.random(), self.mean_interarrival_ms(now));
        self.events.add(now.plus(next), Event::Arrive);
        let balancer = self.rng.random_range(0..self.shape.balancers);
        let hash = self.rng.random();
        let (agent, redirected) = self.place(now, balancer, hash);
        self.counts.flows += 1;
        self.counts.redirected += u64::from(redirected);
        self.agents[agent].flows += 1;
        let requests = exponential(self.rng.random(), REQUESTS_PER_FLOW).0.max(1);
        let downloads = self.kind == LoadKind::Skewed && self.rng.random_bool(DOWNLOAD_SHARE);
        self.flows.push(Flow {
            agent,
            requests_left: requests as u32,
            downloads,
        });
        self.events
            .add(now, Event::SendRequest(self.flows.len() - 1));
    }

    fn place(&mut self, now: Millis, balancer: usize, hash: u64) -> (usize, bool) {
        match self.placement {
            Placement::PlainHash => ((hash % self.shape.targets as u64) as usize, false),
            Placement::RoundRobin => {
                let last_target = &mut self.last_targets[balancer];
                *last_target = (*last_target + 1) % self.shape.targets;
                (*last_target, false)
            }
            Placement::LeastReported => (self.least_reported(), false),
            Placement::Rendezvous => (self.candidates(hash).0, false),
            Placement::Redirect(signal, margin) => {
                let (first, second) = self.candidates(hash);
                let Some(second) = second else {
                    return (first, false);
                };
                self.update(now, first);
                let decision = decide_redirect(RedirectInput {
                    own_load: self.load_of(now, first, signal),
                    second_load: Some(self.seen_loads[balancer][second]),
                    margin,
                    has_room: true,
                });
                match decision {
                    RedirectDecision::Redirect => (second, true),
                    RedirectDecision::Accept | RedirectDecision::Refuse => (first, false),
                }
            }
        }
    }

    fn least_reported(&mut self) -> usize {
        let least = self.reports.iter().map(|report| report.0).min();
        let indices = 0..self.shape.targets;
        let lightest = indices.filter(|&index| Some(self.reports[index].0) == least);
        let lightest: Vec<usize> = lightest.collect();
        lightest[self.rng.random_range(0..lightest.len())]
    }

    fn candidates(&self, hash: u64) -> (usize, Option<usize>) {
        let weights = self
            .reports
            .iter()
            .enumerate()
            .map(|(key, report)| TargetWeight {
                key,
                hash: (key as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
                weight: self.shape.slots as f32 * f32::from(report.1),
            });
        pick_targets(weights, hash).expect("the pool has targets")
    }

    fn send_request(&mut self, now: Millis, flow: usize) {
        let Flow {
            agent, downloads, ..
        } = self.flows[flow];
        let class = if downloads {
            PriorityClass::Bulk
        } else {
            PriorityClass::Normal
        };
        self.counts.requests += u64::from(Self::is_measured(now));
        self.update(now, agent);
        self.expire(now, agent);
        let offer = RequestOffer {
            class,
            deadline: now.plus(TIMEOUT),
        };
        let decision = self.agents[agent].controller.offer(now, offer);
        match decision {
            AdmissionDecision::Run(ticket) => {
                self.add_pending(agent, ticket, flow, now);
                self.start(now, agent, ticket);
            }
            AdmissionDecision::Queued { ticket, evicted } => {
                self.add_pending(agent, ticket, flow, now);
                if let Some(evicted) = evicted {
                    self.refuse(now, agent, evicted);
                }
            }
            AdmissionDecision::Refused(_) => {
                self.counts.refused += u64::from(Self::is_measured(now));
                self.schedule_next_request(now, flow);
            }
        }
    }

    fn add_pending(&mut self, agent: usize, ticket: RequestTicket, flow: usize, arrived: Millis) {
        self.agents[agent].pending.push(PendingRequest {
            ticket,
            flow,
            arrived,
            result: None,
        });
    }

    fn find_pending(&self, agent: usize, ticket: RequestTicket) -> usize {
        let mut pending = self.agents[agent].pending.iter();
        pending
            .position(|pending| pending.ticket == ticket)
            .expect("the ticket has a pending request")
    }

    fn start(&mut self, now: Millis, agent: usize, ticket: RequestTicket) {
        let at = self.find_pending(agent, ticket);
        let pending = &self.agents[agent].pending[at];
        let (flow, wait) = (pending.flow, now.since(pending.arrived));
        if Self::is_measured(now) {
            self.counts.waits.push(wait.0);
        }
        let (slot_time, result) = self.serve(agent, flow);
        self.agents[agent].pending[at].result = Some(result);
        self.events
            .add(now.plus(slot_time), Event::Done(agent, ticket));
    }

    /// Returns how long a request occupies its slot, and its result.
    fn serve(&mut self, agent: usize, flow: usize) -> (Millis, RequestResult) {
        if agent == 0 && self.kind == LoadKind::FailFast {
            let outcome = RequestOutcome::ServerError;
            return (
                FAST_FAILURE,
                RequestResult {
                    latency: FAST_FAILURE,
                    outcome,
                },
            );
        }
        let slow = agent == 0 && self.kind == LoadKind::SlowServer;
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let latency = service_time(self.rng.random(), SERVICE_MS * factor);
        let slot_time = match self.flows[flow].downloads {
            true => service_time(self.rng.random(), SERVICE_MS * factor * DOWNLOAD_FACTOR),
            false => latency,
        };
        let outcome = RequestOutcome::Success;
        (slot_time, RequestResult { latency, outcome })
    }

    fn done(&mut self, now: Millis, agent: usize, ticket: RequestTicket) {
        self.update(now, agent);
        let at = self.find_pending(agent, ticket);
        let pending = self.agents[agent].pending.swap_remove(at);
        let result = pending.result.expect("the request was started");
        self.agents[agent].controller.finish(now, ticket, result);
        let failed = Self::is_measured(now) && result.outcome.is_failure();
        self.counts.failed += u64::from(failed);
        self.send_load(now, agent);
        self.schedule_next_request(now, pending.flow);
        self.expire(now, agent);
        while let Some(next) = self.agents[agent].controller.start_next(now) {
            self.start(now, agent, next);
        }
    }

    /// Sends the agent's load to the balancer that forwards the response.
    fn send_load(&mut self, now: Millis, agent: usize) {
        let balancer = self.rng.random_range(0..self.shape.balancers);
        let reports_no_load = agent == 0 && self.kind == LoadKind::FalseLoad;
        let load = match reports_no_load {
            true => 0,
            false => self.load_of(now, agent, signal_of(self.placement)),
        };
        self.seen_loads[balancer][agent] = load;
    }

    fn load_of(&self, now: Millis, agent: usize, signal: LoadSignal) -> u8 {
        let agent = &self.agents[agent];
        agent
            .meter
            .load(now, signal, &agent.controller, agent.flows)
    }

    fn update(&mut self, now: Millis, agent: usize) {
        let agent = &mut self.agents[agent];
        agent.meter.update(now, &agent.controller);
    }

    fn expire(&mut self, now: Millis, agent: usize) {
        for ticket in self.agents[agent].controller.expire(now) {
            self.refuse(now, agent, ticket);
        }
    }

    fn refuse(&mut self, now: Millis, agent: usize, ticket: RequestTicket) {
        let at = self.find_pending(agent, ticket);
        let pending = self.agents[agent].pending.swap_remove(at);
        self.counts.refused += u64::from(Self::is_measured(now));
        self.schedule_next_request(now, pending.flow);
    }

    fn schedule_next_request(&mut self, now: Millis, flow: usize) {
        self.flows[flow].requests_left -= 1;
        if self.flows[flow].requests_left == 0 {
            self.agents[self.flows[flow].agent].flows -= 1;
            return;
        }
        let think = exponential(self.rng.random(), THINK_MS);
        self.events.add(now.plus(think), Event::SendRequest(flow));
    }

    fn report(&mut self, now: Millis) {
        self.events.add(now.plus(REPORT_INTERVAL), Event::Report);
        for (index, agent) in self.agents.iter().enumerate() {
            let outstanding = agent.controller.in_flight() as usize + agent.controller.queued();
            let reports_no_load = index == 0 && self.kind == LoadKind::FalseLoad;
            self.reports[index] = (
                if reports_no_load { 0 } else { outstanding },
                agent.controller.warmup_level(),
            );
        }
    }

    fn sample(&mut self, now: Millis) {
        self.events.add(now.plus(SAMPLE_INTERVAL), Event::Sample);
        for agent in &mut self.agents {
            let outstanding =
                u64::from(agent.controller.in_flight()) + agent.controller.queued() as u64;
            agent.window_outstanding += outstanding;
            self.counts.samples += 1;
            self.counts.over_slots += u64::from(outstanding > u64::from(self.shape.slots));
        }
        if now.0 % WINDOW.0 == 0 {
            self.end_window();
        }
    }

    fn end_window(&mut self) {
        let outstanding = self.agents.iter().map(|agent| agent.window_outstanding);
        let (largest, sum) = outstanding.fold((0, 0), |(most, sum), outstanding| {
            (outstanding.max(most), sum + outstanding)
        });
        if sum > 0 {
            let mean = sum as f64 / self.shape.targets as f64;
            self.counts.imbalance_sum += largest as f64 / mean;
            self.counts.windows += 1;
        }
        for agent in &mut self.agents {
            agent.window_outstanding = 0;
        }
    }

    fn figures(&mut self) -> PoolFigures {
        let counts = &mut self.counts;
        PoolFigures {
            imbalance: counts.imbalance_sum / counts.windows.max(1) as f64,
            over_slots: ratio(counts.over_slots, counts.samples),
            refused: ratio(counts.refused, counts.requests),
            failed: ratio(counts.failed, counts.requests),
            wait_p50: percentile(&mut counts.waits, 50),
            wait_p99: percentile(&mut counts.waits, 99),
            redirected: ratio(counts.redirected, counts.flows),
        }
    }
}

fn signal_of(placement: Placement) -> LoadSignal {
    match placement {
        Placement::Redirect(signal, _) => signal,
        _ => LoadSignal::Instant,
    }
}
