//! Metrics of the daemons.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::Histogram, //
    },
    registry::{
        Registry,
        Unit, //
    },
};

use super::{
    held_metrics::HeldMetrics,
    resend_metrics::ResendMetrics,
    saved_metrics::SavedMetrics, //
};
use crate::connection::revision_and_era;

/// Upper bounds of the histogram of response times, in seconds.
const RESPONSE_TIME_BOUNDS: [f64; 12] = [
    0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0,
];

/// Label that names a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CauseLabel {
    pub(crate) cause: &'static str,
}

/// Metrics that the threads of a daemon share.
#[derive(Clone, Debug)]
pub(crate) struct NodeMetrics {
    /// Opening packets forwarded by a balancer, or delivered by an agent.
    pub(crate) opened: Counter,
    /// Later packets forwarded by a balancer; packets of callers delivered by an agent.
    pub(crate) forwarded: Counter,
    /// Packets of servers sent to callers.
    pub(crate) response_packets: Counter,
    /// Flows refused, by cause.
    pub(crate) refused: Family<CauseLabel, Counter>,
    /// Flows that a balancer sent to another data centre because their own had no free slot.
    pub(crate) spilled: Counter,
    /// Packets redirected to another agent, by cause.
    pub(crate) redirected: Family<CauseLabel, Counter>,
    /// Packets dropped, by cause.
    pub(crate) dropped: Family<CauseLabel, Counter>,
    /// Flows that a balancer has searched for.
    pub(crate) searched: Counter,
    /// Packets that a balancer has sent to an agent outside of their candidates.
    pub(crate) offered: Counter,
    /// Searches for flows that have ended, by outcome.
    pub(crate) ended_searches: Family<CauseLabel, Counter>,
    /// Malformed datagrams.
    pub(crate) malformed: Counter,
    /// Datagrams that the system didn't accept.
    pub(crate) unsent: Gauge,
    /// Requests in progress at the server.
    pub(crate) busy: Gauge,
    /// Revision of the configuration in force.
    revision: Gauge,
    /// Era of the store in which it gave out that revision; zero if the store states none.
    era: Gauge,
    /// Known agents.
    pub(crate) agents: Gauge,
    /// Registrations of agents that are gone, by what became of them at a balancer.
    pub(crate) registrations: Family<CauseLabel, Counter>,
    /// Attempts to delete the registration of an agent whose server has ended, by outcome.
    pub(crate) deregistrations: Family<CauseLabel, Counter>,
    /// Complete listings of the agents' keys.
    pub(crate) listings: Counter,
    /// Probes of a silent server, by outcome.
    pub(crate) probed_servers: Family<CauseLabel, Counter>,
    /// Time from a request to the first data of its response.
    pub(crate) response_time: Histogram,
    /// Requests that wait for a slot of the server.
    pub(crate) held: HeldMetrics,
    /// Flows saved in the store, and resets of those that a former process saved.
    pub(crate) saved: SavedMetrics,
    /// Early copies of packets to callers.
    pub(crate) resend: ResendMetrics,
}

impl NodeMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &mut Registry) -> NodeMetrics {
        let metrics = NodeMetrics {
            opened: Counter::default(),
            forwarded: Counter::default(),
            response_packets: Counter::default(),
            refused: Family::default(),
            spilled: Counter::default(),
            redirected: Family::default(),
            dropped: Family::default(),
            searched: Counter::default(),
            offered: Counter::default(),
            ended_searches: Family::default(),
            malformed: Counter::default(),
            unsent: Gauge::default(),
            busy: Gauge::default(),
            revision: Gauge::default(),
            era: Gauge::default(),
            agents: Gauge::default(),
            registrations: Family::default(),
            deregistrations: Family::default(),
            listings: Counter::default(),
            probed_servers: Family::default(),
            response_time: Histogram::new(RESPONSE_TIME_BOUNDS),
            held: HeldMetrics::register(registry),
            saved: SavedMetrics::register(registry),
            resend: ResendMetrics::register(registry),
        };
        let m = metrics.clone();
        registry.register("opened_flows", "Opening packets sent to a server", m.opened);
        registry.register(
            "forwarded_packets",
            "Packets of open flows sent on",
            m.forwarded,
        );
        registry.register(
            "answered_packets",
            "Packets sent to callers",
            m.response_packets,
        );
        registry.register("refused_flows", "Flows refused", m.refused);
        registry.register(
            "spilled_flows",
            "Flows sent to another data centre for lack of free slots",
            m.spilled,
        );
        registry.register(
            "passed_packets",
            "Packets passed on to another agent",
            m.redirected,
        );
        registry.register("dropped_packets", "Packets dropped", m.dropped);
        registry.register(
            "searched_flows",
            "Flows whose owner was searched for",
            m.searched,
        );
        registry.register(
            "offered_packets",
            "Packets sent to an agent that may hold their flow and is none of their candidates",
            m.offered,
        );
        registry.register(
            "ended_searches",
            "Searches for flows that have ended",
            m.ended_searches,
        );
        registry.register(
            "malformed_datagrams",
            "Datagrams that can't be read",
            m.malformed,
        );
        registry.register(
            "unsent_datagrams",
            "Datagrams that the system didn't take",
            m.unsent,
        );
        registry.register(
            "busy_requests",
            "Requests in progress at the server",
            m.busy,
        );
        registry.register(
            "config_revision",
            "Revision of the configuration",
            m.revision,
        );
        registry.register(
            "store_era",
            "Era of the store in which it gave out the revision of the configuration; zero if it states none",
            m.era,
        );
        registry.register("known_agents", "Agents that are known", m.agents);
        registry.register(
            "cleaned_registrations",
            "Registrations of agents that are gone",
            m.registrations,
        );
        registry.register(
            "deregistrations",
            "Attempts to delete the registration of an agent whose server has ended",
            m.deregistrations,
        );
        registry.register(
            "agent_listings",
            "Complete listings of the agents",
            m.listings,
        );
        registry.register(
            "probed_servers",
            "Probes of a silent server",
            m.probed_servers,
        );
        let help = "Time from a request to the first data of its answer";
        registry.register_with_unit("answer_time", help, Unit::Seconds, m.response_time);
        metrics
    }

    /// Counts an event under its cause.
    pub(crate) fn count(family: &Family<CauseLabel, Counter>, cause: &'static str) {
        family.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Sets the revision of the configuration and its era, from their order number.
    pub(crate) fn set_revision(&self, order: u64) {
        let (revision, era) = revision_and_era(order);
        NodeMetrics::set(&self.revision, revision);
        NodeMetrics::set(&self.era, u64::from(era.unwrap_or(0)));
    }

    /// Sets a gauge; a value that is too large for it counts as the largest one.
    pub(crate) fn set(gauge: &Gauge, value: u64) {
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
    }
}
