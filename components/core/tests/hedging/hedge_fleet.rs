//! A simulated service whose agents hedge.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    net::SocketAddrV4, //
};

use carobdrum_core::{
    request::{
        HedgeEnd,
        HedgeLimits,
        HedgePolicy,
        HedgeRequest,
        HedgeTarget, //
    },
    Millis,
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};

const ROUTE: &str = "lookup";

/// Response times of a server in milliseconds: `usual` or `slow`, and up to half more.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerTimes {
    pub(crate) usual: u64,
    pub(crate) slow: u64,
    pub(crate) slow_percent: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { agent: usize },
    Due { id: usize, delay: Millis },
    OwnEnd { id: usize },
    HedgeEnd { id: usize },
    Ask { agent: usize },
}

#[derive(Clone, Copy, Debug)]
struct SimRequest {
    agent: usize,
    started: Millis,
    helper: Option<usize>,
    is_done: bool,
}

/// Agents with a server each, to which requests come at equal rates.
pub(crate) struct HedgeFleet {
    now: Millis,
    rng: SmallRng,
    slots: usize,
    servers: Vec<(ServerTimes, usize)>,
    /// `None` if hedging is off.
    policies: Vec<Option<HedgePolicy>>,
    requests_seen: Vec<SimRequest>,
    events: BinaryHeap<Reverse<(Millis, Event)>>,
    pub(crate) requests: u64,
    pub(crate) sent: u64,
    pub(crate) won: u64,
    /// Response times in milliseconds.
    pub(crate) times: Vec<u64>,
}

impl HedgeFleet {
    pub(crate) fn new(limits: HedgeLimits, agents: usize, slots: usize) -> HedgeFleet {
        let usual = ServerTimes {
            usual: 20,
            slow: 0,
            slow_percent: 0,
        };
        let policy = |own: usize| {
            let mut policy = HedgePolicy::new(limits, Millis(0));
            let others = (0..agents).filter(|&other| other != own);
            let targets = others.map(|other| HedgeTarget {
                address: address(other),
                is_near: true,
            });
            policy.set_targets(Millis(0), targets);
            (limits.percent > 0).then_some(policy)
        };
        HedgeFleet {
            now: Millis(0),
            rng: SmallRng::seed_from_u64(7),
            slots,
            servers: vec![(usual, 0); agents],
            policies: (0..agents).map(policy).collect(),
            requests_seen: Vec::new(),
            events: BinaryHeap::new(),
            requests: 0,
            sent: 0,
            won: 0,
            times: Vec::new(),
        }
    }

    pub(crate) fn set_times(&mut self, server: usize, times: ServerTimes) {
        self.servers[server].0 = times;
    }

    /// Runs for `span` with `rate` requests a second for each agent.
    pub(crate) fn run(&mut self, span: Millis, rate: u64) {
        let end = self.now.plus(span);
        for agent in 0..self.servers.len() {
            let interval = 1_000 / rate;
            let times = (self.now.0..end.0).step_by(interval as usize);
            for time in times {
                let time = Millis(time + self.rng.random_range(0..interval));
                self.events.push(Reverse((time, Event::Arrival { agent })));
            }
        }
        for agent in 0..self.servers.len() {
            for time in (self.now.0..end.0).step_by(5_000) {
                self.events
                    .push(Reverse((Millis(time), Event::Ask { agent })));
            }
        }
        while let Some(&Reverse((time, event))) = self.events.peek() {
            if time >= end {
                break;
            }
            self.events.pop();
            self.now = time;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { agent } => self.arrive(agent),
            Event::Due { id, delay } => self.hedge(id, delay),
            Event::OwnEnd { id } => self.complete(id, false),
            Event::HedgeEnd { id } => self.complete(id, true),
            Event::Ask { agent } => self.ask(agent),
        }
    }

    fn arrive(&mut self, agent: usize) {
        self.requests += 1;
        let id = self.requests_seen.len();
        self.requests_seen.push(SimRequest {
            agent,
            started: self.now,
            helper: None,
            is_done: false,
        });
        let end = self.now.plus(self.work(agent));
        self.push(end, Event::OwnEnd { id });
        let now = self.now;
        let plan = self.policies[agent]
            .as_mut()
            .map(|policy| policy.plan(now, &request(now)));
        if let Some(Ok(delay)) = plan {
            self.push(now.plus(delay), Event::Due { id, delay });
        }
    }

    fn hedge(&mut self, id: usize, delay: Millis) {
        let SimRequest { agent, is_done, .. } = self.requests_seen[id];
        if is_done {
            return;
        }
        let (now, pick) = (self.now, self.rng.random());
        let queued = self.servers[agent].1.saturating_sub(self.slots);
        let Some(policy) = self.policies[agent].as_mut() else {
            return;
        };
        let Ok(chosen) = policy.decide(now, &request(now), delay, queued, pick) else {
            return;
        };
        self.sent += 1;
        let helper = usize::from(chosen.ip().octets()[3]);
        if self.servers[helper].1 >= self.slots {
            policy.record_end(now, ROUTE, chosen, HedgeEnd::Refused);
            return;
        }
        self.requests_seen[id].helper = Some(helper);
        let end = now.plus(self.work(helper));
        self.push(end, Event::HedgeEnd { id });
    }

    fn complete(&mut self, id: usize, is_hedge: bool) {
        let request = &mut self.requests_seen[id];
        if request.is_done {
            return;
        }
        request.is_done = true;
        let SimRequest {
            agent,
            started,
            helper,
            ..
        } = *request;
        let now = self.now;
        let time = now.since(started);
        self.times.push(time.0);
        self.servers[agent].1 -= 1;
        if let Some(helper) = helper {
            self.servers[helper].1 -= 1;
        }
        let Some(policy) = self.policies[agent].as_mut() else {
            return;
        };
        policy.record_time(now, ROUTE, time);
        if let Some(helper) = helper {
            let end = if is_hedge {
                HedgeEnd::Won
            } else {
                HedgeEnd::Lost
            };
            policy.record_end(now, ROUTE, address(helper), end);
            self.won += u64::from(is_hedge);
        }
    }

    /// Asks other agents for their percentiles.
    fn ask(&mut self, agent: usize) {
        let (now, pick) = (self.now, self.rng.random());
        let reporters = self.policies[agent]
            .as_ref()
            .map(|policy| policy.reporters(pick));
        for reporter in reporters.unwrap_or_default() {
            let other = self.policies[usize::from(reporter.ip().octets()[3])].as_mut();
            let report = other.map(|policy| policy.percentiles(now));
            if let (Some(policy), Some(report)) = (self.policies[agent].as_mut(), report) {
                policy.record_report(now, reporter, report);
            }
        }
    }

    /// Starts a run on a server and returns how long it takes.
    fn work(&mut self, server: usize) -> Millis {
        let (times, busy) = &mut self.servers[server];
        *busy += 1;
        let is_slow = self.rng.random_range(0..100) < times.slow_percent;
        let least = if is_slow { times.slow } else { times.usual };
        Millis(least + self.rng.random_range(0..=least / 2))
    }

    fn push(&mut self, time: Millis, event: Event) {
        self.events.push(Reverse((time, event)));
    }
}

/// Returns the value below which this share of the values lies.
pub(crate) fn quantile(values: &[u64], share: f64) -> u64 {
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    sorted[((sorted.len() - 1) as f64 * share) as usize]
}

fn address(agent: usize) -> SocketAddrV4 {
    SocketAddrV4::new([127, 0, 0, agent as u8].into(), 7000)
}

fn request(now: Millis) -> HedgeRequest {
    HedgeRequest {
        route: ROUTE.into(),
        is_repeatable: true,
        is_keyed: false,
        is_retry: false,
        deadline: carobdrum_core::request::RequestDeadline(now.plus(Millis(30_000))),
    }
}
