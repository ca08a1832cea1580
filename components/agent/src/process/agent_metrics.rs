//! Metrics of the agent.

use carobdrum_core::request::HedgeHold;
use carobdrum_wire::OpenError;
use prometheus_client::{
    encoding::{
        EncodeLabelSet,
        EncodeLabelValue, //
    },
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

/// Reason why a datagram is dropped; a label value of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum DropReason {
    /// The tunnel header is malformed.
    BadHeader,
    /// The authentication tag is wrong.
    Forged,
    /// The datagram was received before.
    Replayed,
    /// The datagram is of a kind that isn't sent to agents.
    UnexpectedKind,
    /// The datagram is for another service.
    ForeignService,
    /// The agent's data centre is evacuated.
    TakenOut,
    /// A response to a caller that isn't in the caller table.
    NoRoute,
    /// The queue of the control thread is full.
    ControlQueueFull,
    /// A control datagram whose payload isn't a valid message.
    Malformed,
}

impl From<OpenError> for DropReason {
    fn from(error: OpenError) -> DropReason {
        match error {
            OpenError::BadHeader { .. } => DropReason::BadHeader,
            OpenError::Forged => DropReason::Forged,
            OpenError::Replayed { .. } => DropReason::Replayed,
        }
    }
}

/// How a request ended; a label value of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestEnd {
    /// The caller was sent the server's whole response.
    Answered,
    /// The request was refused and has not run.
    NotRun,
    /// The request may have run, but no complete response arrived.
    Unknown,
    /// The caller disconnected or reset the stream.
    Cancelled,
    /// The request was malformed, has no route, or has an idempotency key that was not issued by
    /// the system.
    BadRequest,
    /// The request repeated an idempotency key and was answered from the ledger.
    Repeated,
}

/// What became of a request that could be hedged; a label value of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum HedgeEvent {
    /// A hedge was sent to another agent.
    Sent,
    /// The hedge's response was the first whole one.
    Won,
    /// The own server's response was the first whole one, or the hedge failed.
    Wasted,
    /// The other agent refused the hedge or couldn't be reached.
    Refused,
    /// Held back: not idempotent, with a body or an idempotency key, or sent before.
    NotRepeatable,
    /// Held back: too few response times.
    FewSamples,
    /// Held back: requests wait for a slot here.
    Queue,
    /// Held back: too little time until the deadline.
    Late,
    /// Held back: no other agent of the service is known.
    NoAgent,
    /// Held back: all other agents refused within the last second.
    NoRoom,
    /// Held back: the budget is spent.
    Budget,
}

impl From<HedgeHold> for HedgeEvent {
    fn from(hold: HedgeHold) -> HedgeEvent {
        match hold {
            HedgeHold::NotRepeatable => HedgeEvent::NotRepeatable,
            HedgeHold::FewSamples => HedgeEvent::FewSamples,
            HedgeHold::Queue => HedgeEvent::Queue,
            HedgeHold::Late => HedgeEvent::Late,
            HedgeHold::NoAgent => HedgeEvent::NoAgent,
            HedgeHold::NoRoom => HedgeEvent::NoRoom,
            HedgeHold::Budget => HedgeEvent::Budget,
        }
    }
}

/// What became of a request of another agent; a label value of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RunEnd {
    /// The other agent was sent the server's whole response.
    Done,
    /// The request was refused and has not run.
    Refused,
    /// The server returned no whole response of at most 256 KiB.
    Failed,
    /// The other agent closed the connection.
    Cancelled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct HedgeLabel {
    event: HedgeEvent,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RunLabel {
    end: RunEnd,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DropLabel {
    reason: DropReason,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabel {
    end: RequestEnd,
}

/// Metrics shared by all threads of the agent.
#[derive(Clone, Default)]
pub(crate) struct AgentMetrics {
    pub(crate) delivered: Counter,
    pub(crate) response_datagrams: Counter,
    pub(crate) redirected: Counter,
    pub(crate) retries_asked: Counter,
    pub(crate) connections: Gauge,
    pub(crate) in_flight: Gauge,
    pub(crate) limit: Gauge,
    pub(crate) queued: Gauge,
    pub(crate) config_version: Gauge,
    pub(crate) control_sent_bytes: Counter,
    dropped: Family<DropLabel, Counter>,
    ended: Family<EndLabel, Counter>,
    hedges: Family<HedgeLabel, Counter>,
    runs: Family<RunLabel, Counter>,
}

impl AgentMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let counter = self.delivered.clone();
        registry.register(
            "delivered_datagrams",
            "Datagrams of callers delivered",
            counter,
        );
        let counter = self.response_datagrams.clone();
        registry.register("answered_datagrams", "Datagrams sent to callers", counter);
        let counter = self.redirected.clone();
        registry.register("passed_first_packets", "First packets passed on", counter);
        let counter = self.retries_asked.clone();
        registry.register("retries_asked", "Handshakes answered with a Retry", counter);
        let counter = self.control_sent_bytes.clone();
        registry.register(
            "control_sent_bytes",
            "Bytes of control datagrams sent",
            counter,
        );
        let gauge = self.connections.clone();
        registry.register("connections", "Open connections", gauge);
        let gauge = self.in_flight.clone();
        registry.register(
            "in_flight_requests",
            "Requests running on the server",
            gauge,
        );
        let gauge = self.limit.clone();
        registry.register("limit_requests", "Requests that may run at once now", gauge);
        let gauge = self.queued.clone();
        registry.register("queued_requests", "Requests that wait for a slot", gauge);
        let gauge = self.config_version.clone();
        registry.register("config_version", "Configuration version in force", gauge);
        let family = self.dropped.clone();
        registry.register("dropped_datagrams", "Datagrams dropped, by reason", family);
        let family = self.ended.clone();
        registry.register("ended_requests", "Requests, by how they ended", family);
        let family = self.hedges.clone();
        registry.register("hedges", "Hedges sent, their results, held back", family);
        let family = self.runs.clone();
        registry.register("runs_for_agents", "Hedges of other agents", family);
    }

    pub(crate) fn hedge(&self, event: HedgeEvent) {
        self.hedges.get_or_create(&HedgeLabel { event }).inc();
    }

    pub(crate) fn run_for_agent(&self, end: RunEnd) {
        self.runs.get_or_create(&RunLabel { end }).inc();
    }

    pub(crate) fn drop(&self, reason: DropReason) {
        self.dropped.get_or_create(&DropLabel { reason }).inc();
    }

    pub(crate) fn end(&self, end: RequestEnd) {
        self.ended.get_or_create(&EndLabel { end }).inc();
    }
}
