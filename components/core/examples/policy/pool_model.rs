//! Model of one pool: flows, agents with their servers, and balancers with what they know.

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
        LoadMeter,
        LoadSignal, //
    },
    pool_case::{
        LoadKind,
        Placement,
        PoolShape, //
    },
};

const END: Millis = Millis(120_000);
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
    /// Largest over mean of requests held per target, mean over windows of one second.
    pub(crate) imbalance: f64,
    /// Share of target time in which more requests are held than there are slots.
    pub(crate) over_slots: f64,
    /// Share of requests refused, evicted or expired.
    pub(crate) refused: f64,
    /// Share of requests answered with 5xx.
    pub(crate) failed: f64,
    /// Waits of started requests, in milliseconds.
    pub(crate) wait_p50: u64,
    pub(crate) wait_p99: u64,
    /// Share of flows that were passed.
    pub(crate) passed: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Ask(usize),
    Done(usize, RequestTicket),
    Report,
    Sample,
}

struct Flow {
    agent: usize,
    requests_left: u32,
    downloads: bool,
}

struct Work {
    ticket: RequestTicket,
    flow: usize,
    asked: Millis,
    result: Option<RequestResult>,
}

struct Agent {
    controller: AdmissionController,
    meter: LoadMeter,
    flows: u32,
    work: Vec<Work>,
    window_held: u64,
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
    passed: u64,
    waits: Vec<u64>,
}

/// One run of one case.
pub(crate) struct PoolModel {
    shape: PoolShape,
    kind: LoadKind,
    placement: Placement,
    rng: SmallRng,
    events: EventQueue<Event>,
    agents: Vec<Agent>,
    flows: Vec<Flow>,
    /// Held requests and warmth of each target as reported once a second.
    reports: Vec<(usize, u8)>,
    /// Load of each target as each balancer last saw it in an answer.
    views: Vec<Vec<u8>>,
    turns: Vec<usize>,
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
            meter: LoadMeter::new(signal),
            flows: 0,
            work: Vec::new(),
            window_held: 0,
        });
        let mut rng = SmallRng::seed_from_u64(seed);
        let turns = (0..shape.balancers).map(|_| rng.random_range(0..shape.targets));
        let turns = turns.collect();
        let mut model = PoolModel {
            shape,
            kind,
            placement,
            rng,
            events: EventQueue::new(),
            agents: agents.collect(),
            flows: Vec::new(),
            reports: vec![(0, 255); shape.targets],
            // A balancer that knows no load of the second states it as full, so the first keeps.
            views: vec![vec![255; shape.targets]; shape.balancers],
            turns,
            counts: Counts::default(),
        };
        model.simulate();
        model.figures()
    }

    fn simulate(&mut self) {
        self.events.add(Millis(0), Event::Arrive);
        self.events.add(Millis(0), Event::Report);
        self.events.add(MEASURED_FROM, Event::Sample);
        while let Some((now, event)) = self.events.next(END) {
            match event {
                Event::Arrive => self.arrive(now),
                Event::Ask(flow) => self.ask(now, flow),
                Event::Done(agent, ticket) => self.done(now, agent, ticket),
                Event::Report => self.report(now),
                Event::Sample => self.sample(now),
            }
        }
    }

    fn is_measured(now: Millis) -> bool {
        now >= MEASURED_FROM
    }

    /// Returns the mean time between flows, for the utilisation and the kind of load.
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
        let (agent, passed) = self.place(now, balancer, hash);
        self.counts.flows += 1;
        self.counts.passed += u64::from(passed);
        self.agents[agent].flows += 1;
        let requests = exponential(self.rng.random(), REQUESTS_PER_FLOW).0.max(1);
        let downloads = self.kind == LoadKind::Skewed && self.rng.random_bool(DOWNLOAD_SHARE);
        self.flows.push(Flow {
            agent,
            requests_left: requests as u32,
            downloads,
        });
        self.events.add(now, Event::Ask(self.flows.len() - 1));
    }

    fn place(&mut self, now: Millis, balancer: usize, hash: u64) -> (usize, bool) {
        match self.placement {
            Placement::PlainHash => ((hash % self.shape.targets as u64) as usize, false),
            Placement::RoundRobin => {
                let turn = &mut self.turns[balancer];
                *turn = (*turn + 1) % self.shape.targets;
                (*turn, false)
            }
            Placement::LeastReported => (self.least_reported(), false),
            Placement::Rendezvous => (self.candidates(hash).0, false),
            Placement::Redirect(signal, margin) => {
                let (first, second) = self.candidates(hash);
                let Some(second) = second else {
                    return (first, false);
                };
                self.update(now, first);
                let verdict = decide_redirect(RedirectInput {
                    own_load: self.load_of(now, first, signal),
                    second_load: Some(self.views[balancer][second]),
                    margin,
                    has_room: true,
                });
                match verdict {
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

    fn ask(&mut self, now: Millis, flow: usize) {
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
        let verdict = self.agents[agent].controller.offer(now, offer);
        match verdict {
            AdmissionDecision::Run(ticket) => {
                self.add_work(agent, ticket, flow, now);
                self.start(now, agent, ticket);
            }
            AdmissionDecision::Queued { ticket, evicted } => {
                self.add_work(agent, ticket, flow, now);
                if let Some(evicted) = evicted {
                    self.refuse(now, agent, evicted);
                }
            }
            AdmissionDecision::Refused(_) => {
                self.counts.refused += u64::from(Self::is_measured(now));
                self.go_on(now, flow);
            }
        }
    }

    fn add_work(&mut self, agent: usize, ticket: RequestTicket, flow: usize, asked: Millis) {
        self.agents[agent].work.push(Work {
            ticket,
            flow,
            asked,
            result: None,
        });
    }

    fn find_work(&self, agent: usize, ticket: RequestTicket) -> usize {
        let mut work = self.agents[agent].work.iter();
        work.position(|work| work.ticket == ticket)
            .expect("the ticket has work")
    }

    fn start(&mut self, now: Millis, agent: usize, ticket: RequestTicket) {
        let at = self.find_work(agent, ticket);
        let work = &self.agents[agent].work[at];
        let (flow, wait) = (work.flow, now.since(work.asked));
        if Self::is_measured(now) {
            self.counts.waits.push(wait.0);
        }
        let (held, result) = self.serve(agent, flow);
        self.agents[agent].work[at].result = Some(result);
        self.events.add(now.plus(held), Event::Done(agent, ticket));
    }

    /// Returns how long a request holds its slot, and its result.
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
        let held = match self.flows[flow].downloads {
            true => service_time(self.rng.random(), SERVICE_MS * factor * DOWNLOAD_FACTOR),
            false => latency,
        };
        let outcome = RequestOutcome::Success;
        (held, RequestResult { latency, outcome })
    }

    fn done(&mut self, now: Millis, agent: usize, ticket: RequestTicket) {
        self.update(now, agent);
        let at = self.find_work(agent, ticket);
        let work = self.agents[agent].work.swap_remove(at);
        let result = work.result.expect("the work was started");
        self.agents[agent].controller.finish(now, ticket, result);
        let failed = Self::is_measured(now) && result.outcome.is_failure();
        self.counts.failed += u64::from(failed);
        self.answer(now, agent);
        self.go_on(now, work.flow);
        self.expire(now, agent);
        while let Some(next) = self.agents[agent].controller.start_next(now) {
            self.start(now, agent, next);
        }
    }

    /// Shows the agent's load to the balancer that forwards the answer.
    fn answer(&mut self, now: Millis, agent: usize) {
        let balancer = self.rng.random_range(0..self.shape.balancers);
        let lies = agent == 0 && self.kind == LoadKind::FalseLoad;
        let load = match lies {
            true => 0,
            false => self.load_of(now, agent, signal_of(self.placement)),
        };
        self.views[balancer][agent] = load;
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
        let at = self.find_work(agent, ticket);
        let work = self.agents[agent].work.swap_remove(at);
        self.counts.refused += u64::from(Self::is_measured(now));
        self.go_on(now, work.flow);
    }

    fn go_on(&mut self, now: Millis, flow: usize) {
        self.flows[flow].requests_left -= 1;
        if self.flows[flow].requests_left == 0 {
            self.agents[self.flows[flow].agent].flows -= 1;
            return;
        }
        let think = exponential(self.rng.random(), THINK_MS);
        self.events.add(now.plus(think), Event::Ask(flow));
    }

    fn report(&mut self, now: Millis) {
        self.events.add(now.plus(REPORT_INTERVAL), Event::Report);
        for (index, agent) in self.agents.iter().enumerate() {
            let held = agent.controller.in_flight() as usize + agent.controller.queued();
            let lies = index == 0 && self.kind == LoadKind::FalseLoad;
            self.reports[index] = (if lies { 0 } else { held }, agent.controller.warmup_level());
        }
    }

    fn sample(&mut self, now: Millis) {
        self.events.add(now.plus(SAMPLE_INTERVAL), Event::Sample);
        for agent in &mut self.agents {
            let held = u64::from(agent.controller.in_flight()) + agent.controller.queued() as u64;
            agent.window_held += held;
            self.counts.samples += 1;
            self.counts.over_slots += u64::from(held > u64::from(self.shape.slots));
        }
        if now.0 % WINDOW.0 == 0 {
            self.end_window();
        }
    }

    fn end_window(&mut self) {
        let held = self.agents.iter().map(|agent| agent.window_held);
        let (largest, sum) = held.fold((0, 0), |(most, sum), held| (held.max(most), sum + held));
        if sum > 0 {
            let mean = sum as f64 / self.shape.targets as f64;
            self.counts.imbalance_sum += largest as f64 / mean;
            self.counts.windows += 1;
        }
        for agent in &mut self.agents {
            agent.window_held = 0;
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
            passed: ratio(counts.passed, counts.flows),
        }
    }
}

fn signal_of(placement: Placement) -> LoadSignal {
    match placement {
        Placement::Redirect(signal, _) => signal,
        _ => LoadSignal::Instant,
    }
}
