//! Hedges of the agent's requests at other agents.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    net::SocketAddrV4,
    rc::Rc,
    time::Duration, //
};

use carobdrum_control::{
    call_control_within,
    decode_records,
    ProcessClock, //
};
use carobdrum_core::{
    process::MemberRole,
    request::{
        HedgeEnd,
        HedgeHold,
        HedgeLimits,
        HedgePolicy,
        HedgeRequest,
        HedgeTarget, //
    },
    Millis,
};
use carobdrum_wire::{
    control::{
        ControlBody,
        FetchAgents,
        FetchTimes,
        RunRequest, //
    },
    ControlMessage, TunnelKey,
};
use compact_str::CompactString;
use tokio::{
    sync::watch,
    task::spawn_local, //
};
use tracing::debug;

use super::whole_response::HedgeReply;
use crate::process::{
    AgentMetrics,
    HedgeEvent, //
};

/// Time limit of a call for the list of agents or their response times.
const LIST_TIMEOUT: Duration = Duration::from_secs(1);

/// Parts of [`Hedging`].
pub(crate) struct HedgingParts {
    pub(crate) address: SocketAddrV4,
    pub(crate) data_centre: CompactString,
    pub(crate) key: TunnelKey,
    pub(crate) clock: ProcessClock,
    pub(crate) metrics: AgentMetrics,
    /// The balancers that the agent sends heartbeats to.
    pub(crate) balancers: watch::Receiver<Vec<SocketAddrV4>>,
}

/// Hedges requests at other agents of the service, as the policy decides.
pub(crate) struct Hedging {
    parts: HedgingParts,
    pub(super) policy: RefCell<HedgePolicy>,
    /// Number of requests of other agents that run now.
    pub(super) running: Cell<usize>,
}

impl Hedging {
    /// Creates the part for these limits.
    pub(crate) fn new(limits: HedgeLimits, parts: HedgingParts) -> Rc<Hedging> {
        let now = parts.clock.now();
        Rc::new(Hedging {
            parts,
            policy: RefCell::new(HedgePolicy::new(limits, now)),
            running: Cell::new(0),
        })
    }

    /// Counts a request of `service` that is about to run and returns the delay of its hedge.
    pub(super) fn plan(
        self: &Rc<Self>,
        request: &HedgeRequest,
        service: &CompactString,
    ) -> Result<Millis, HedgeHold> {
        let now = self.parts.clock.now();
        let plan = self.policy.borrow_mut().plan(now, request);
        if let Err(hold) = plan {
            self.parts.metrics.hedge(hold.into());
        }
        if plan.is_ok() && self.policy.borrow_mut().begin_ask(now) {
            spawn_local(Rc::clone(self).refresh(service.clone()));
        }
        plan
    }

    /// Decides about a request without a response after its delay.
    pub(super) fn decide(
        &self,
        request: &HedgeRequest,
        delay: Millis,
        queued: usize,
    ) -> Result<SocketAddrV4, HedgeHold> {
        let now = self.parts.clock.now();
        let mut policy = self.policy.borrow_mut();
        let decision = policy.decide(now, request, delay, queued, rand::random());
        let halvings = policy.halvings();
        let event = decision.map_or_else(HedgeEvent::from, |_| HedgeEvent::Sent);
        self.parts.metrics.hedge(event);
        debug!(
            route = %request.route,
            delay_ms = delay.0,
            queued,
            halvings,
            ?decision,
            "hedge decided"
        );
        decision
    }

    /// Sends a hedge to `agent`. The hedge is cancelled if the future is dropped.
    pub(super) async fn send(&self, agent: SocketAddrV4, request: RunRequest) -> HedgeReply {
        let limit = Duration::from_millis(u64::from(request.timeout_ms));
        let message = ControlMessage::new(ControlBody::RunRequest(request));
        let reply = call_control_within(agent, &self.parts.key, message, limit).await;
        match reply.map(|message| message.body) {
            Ok(Some(ControlBody::RunReply(reply))) => HedgeReply::from_reply(reply),
            // An agent of an older version doesn't know the message.
            Ok(_) => HedgeReply::Refused,
            Err(error) => {
                debug!(%error, "hedge failed");
                HedgeReply::Refused
            }
        }
    }

    /// Records how the hedge to `agent` ended.
    pub(super) fn record_end(&self, route: &str, agent: SocketAddrV4, end: HedgeEnd) {
        let now = self.parts.clock.now();
        self.policy.borrow_mut().record_end(now, route, agent, end);
        let event = match end {
            HedgeEnd::Won => HedgeEvent::Won,
            HedgeEnd::Lost => HedgeEvent::Wasted,
            HedgeEnd::Refused => HedgeEvent::Refused,
        };
        self.parts.metrics.hedge(event);
        debug!(%agent, route, ?end, "hedge ended");
    }

    /// Records the time that a request took on the own server.
    pub(super) fn record_time(&self, route: &str, started: Millis) {
        let now = self.parts.clock.now();
        let time = now.since(started);
        self.policy.borrow_mut().record_time(now, route, time);
    }

    /// Asks a balancer for the agents of the service, and some of these for their response times.
    async fn refresh(self: Rc<Self>, service: CompactString) {
        let Some(targets) = self.fetch_targets(service).await else {
            debug!("no balancer listed the agents of the service");
            return;
        };
        let now = self.parts.clock.now();
        let reporters = {
            let mut policy = self.policy.borrow_mut();
            policy.set_targets(now, targets);
            policy.reporters(rand::random())
        };
        for agent in reporters {
            let message = ControlMessage::new(ControlBody::FetchTimes(FetchTimes {}));
            let Some(ControlBody::RouteTimes(times)) = self.call(agent, message).await else {
                continue;
            };
            let now = self.parts.clock.now();
            let routes = times.routes.into_iter();
            let routes =
                routes.map(|time| (time.route.into(), Millis(u64::from(time.percentile_ms))));
            self.policy.borrow_mut().record_report(now, agent, routes);
        }
    }

    async fn fetch_targets(&self, service: CompactString) -> Option<Vec<HedgeTarget>> {
        let balancers = self.parts.balancers.borrow().clone();
        let index = rand::random_range(0..balancers.len().max(1));
        let balancer = *balancers.get(index)?;
        let request = ControlMessage::new(ControlBody::FetchAgents(FetchAgents {
            service: service.into(),
            data_centre: self.parts.data_centre.to_string(),
            pick: rand::random(),
        }));
        let Some(ControlBody::Members(found)) = self.call(balancer, request).await else {
            return None;
        };
        let agents = decode_records(found.members).into_iter().filter(|record| {
            record.role == MemberRole::Agent && record.address != self.parts.address
        });
        let targets = agents.map(|record| HedgeTarget {
            address: record.address,
            is_near: record.data_centre == self.parts.data_centre,
        });
        Some(targets.collect())
    }

    async fn call(&self, peer: SocketAddrV4, message: ControlMessage) -> Option<ControlBody> {
        let response = call_control_within(peer, &self.parts.key, message, LIST_TIMEOUT).await;
        response.ok()?.body
    }
}
