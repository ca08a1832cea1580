//! Decisions about hedges.

use std::net::SocketAddrV4;

use compact_str::CompactString;

use super::{
    HedgeBudget,
    HedgeDelay,
    HedgeEnd,
    HedgeTarget,
    HedgeTargets,
    RequestDeadline, //
};
use crate::Millis;

/// Largest number of routes whose response times are kept.
const MAX_ROUTES: usize = 64;

/// Limits that operators set for hedges.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeLimits {
    /// Hedges in percent of the requests that may be repeated.
    pub percent: u32,
    /// Shortest delay before a hedge.
    pub min_delay: Millis,
    /// Whether hedges may go to other data centres.
    pub cross_centre: bool,
}

/// What the decision needs to know about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HedgeRequest {
    /// Name of the request's route.
    pub route: CompactString,
    /// Whether the request has an idempotent method and no body.
    pub is_repeatable: bool,
    /// Whether the request carries an idempotency key.
    pub is_keyed: bool,
    /// Whether the request has been sent to the own server before.
    pub is_retry: bool,
    /// Time after which nobody waits for the response.
    pub deadline: RequestDeadline,
}

impl HedgeRequest {
    /// Returns whether the request counts as one that may be hedged.
    pub fn is_eligible(&self) -> bool {
        self.is_repeatable && !self.is_keyed && !self.is_retry
    }
}

/// Reason why a request isn't hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HedgeHold {
    /// Its method isn't idempotent, or it has a body, an idempotency key or an earlier attempt.
    NotRepeatable,
    /// There are too few response times of its route.
    FewSamples,
    /// Requests wait for a slot of the own server.
    Queue,
    /// Less time than the delay is left until its deadline.
    Late,
    /// No other agent of the service is known in the data centres that may be used.
    NoAgent,
    /// All of these agents refused a hedge within the last second.
    NoRoom,
    /// The budget is spent.
    Budget,
}

/// Decides whether, when and to which agent a request is hedged.
#[derive(Clone, Debug)]
pub struct HedgePolicy {
    limits: HedgeLimits,
    budget: HedgeBudget,
    targets: HedgeTargets,
    /// Sorted by route.
    delays: Vec<(CompactString, HedgeDelay)>,
}

impl HedgePolicy {
    /// Creates the policy of a process that has just started.
    pub fn new(limits: HedgeLimits, now: Millis) -> HedgePolicy {
        HedgePolicy {
            limits,
            budget: HedgeBudget::new(limits.percent, now),
            targets: HedgeTargets::new(limits.cross_centre),
            delays: Vec::new(),
        }
    }

    /// Counts a request that is about to run on the own server, and returns the delay after which
    /// [`HedgePolicy::decide`] is to be called if there is no response.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeHold`] of a request that can't be hedged.
    pub fn plan(&mut self, now: Millis, request: &HedgeRequest) -> Result<Millis, HedgeHold> {
        if !request.is_eligible() {
            return Err(HedgeHold::NotRepeatable);
        }
        self.budget.count_request(now);
        let min_delay = self.limits.min_delay;
        let delay = self.delay_of(now, &request.route).delay(now, min_delay);
        let delay = delay.ok_or(HedgeHold::FewSamples)?;
        if request.deadline.remaining(now).since(delay) < delay {
            return Err(HedgeHold::Late);
        }
        Ok(delay)
    }

    /// Decides about a request that had no response within `delay`, takes the hedge from the budget
    /// and returns the agent that it goes to. `queued` is the number of requests that wait for a
    /// slot of the own server, and `pick` a random number.
    ///
    /// # Errors
    ///
    /// Returns the [`HedgeHold`] of a request that isn't hedged.
    pub fn decide(
        &mut self,
        now: Millis,
        request: &HedgeRequest,
        delay: Millis,
        queued: usize,
        pick: u64,
    ) -> Result<SocketAddrV4, HedgeHold> {
        if !request.is_eligible() {
            return Err(HedgeHold::NotRepeatable);
        }
        if queued > 0 {
            return Err(HedgeHold::Queue);
        }
        if request.deadline.remaining(now) < delay {
            return Err(HedgeHold::Late);
        }
        let agent = self.targets.choose(now, pick)?;
        if !self.budget.take_hedge(now) {
            return Err(HedgeHold::Budget);
        }
        Ok(agent)
    }

    /// Records the time that a request took on the own server; see [`HedgeDelay::record`].
    pub fn record_time(&mut self, now: Millis, route: &str, time: Millis) {
        self.delay_of(now, route).record(now, time);
    }

    /// Records how the hedge to `agent` ended.
    pub fn record_end(&mut self, now: Millis, route: &str, agent: SocketAddrV4, end: HedgeEnd) {
        self.budget.record_end(now, end);
        match end {
            HedgeEnd::Refused => self.targets.record_refusal(now, agent),
            _ => self
                .delay_of(now, route)
                .record_end(now, end == HedgeEnd::Won),
        }
    }

    /// Returns the 95th percentile of the own server's response times of each route that has enough
    /// of them, to be reported to other agents.
    pub fn percentiles(&mut self, now: Millis) -> Vec<(CompactString, Millis)> {
        let routes = self.delays.iter_mut();
        routes
            .filter_map(|(route, delay)| Some((route.clone(), delay.percentile(now)?)))
            .collect()
    }

    /// Records the percentiles that another agent reported. Routes without requests here are
    /// ignored.
    pub fn record_report(
        &mut self,
        now: Millis,
        agent: SocketAddrV4,
        percentiles: impl IntoIterator<Item = (CompactString, Millis)>,
    ) {
        for (route, percentile) in percentiles {
            if let Ok(index) = self.find(&route) {
                self.delays[index].1.record_report(now, agent, percentile);
            }
        }
    }

    /// Returns whether a balancer is to be asked for the agents of the service now; see
    /// [`HedgeTargets::begin_ask`].
    pub fn begin_ask(&mut self, now: Millis) -> bool {
        self.targets.begin_ask(now)
    }

    /// Returns the agents to ask for their percentiles, chosen by a random number from those of the
    /// own data centre.
    pub fn reporters(&self, pick: u64) -> Vec<SocketAddrV4> {
        self.targets.reporters(pick)
    }

    /// Sets the other agents of the service.
    pub fn set_targets(&mut self, now: Millis, targets: impl IntoIterator<Item = HedgeTarget>) {
        self.targets.update(now, targets);
    }

    /// Returns how often the budget has been halved.
    pub fn halvings(&self) -> u32 {
        self.budget.halvings()
    }

    /// Returns the response times of a route. A new route replaces the one that has been without
    /// requests for longest if there are too many.
    fn delay_of(&mut self, now: Millis, route: &str) -> &mut HedgeDelay {
        if self.find(route).is_err() && self.delays.len() >= MAX_ROUTES {
            let age = |(_, delay): &(CompactString, HedgeDelay)| now.since(delay.last_recorded());
            let ages = self.delays.iter().map(age).enumerate();
            if let Some((index, _)) = ages.max_by_key(|&(_, age)| age) {
                self.delays.remove(index);
            }
        }
        let index = self.find(route).unwrap_or_else(|index| {
            self.delays
                .insert(index, (route.into(), HedgeDelay::default()));
            index
        });
        &mut self.delays[index].1
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.delays
            .binary_search_by(|(name, _)| name.as_str().cmp(route))
    }
}
