//! Counters of the agent.

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

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum DropReason {
    /// A bad header.
    BadHeader,
    /// A tag that doesn't fit.
    Forged,
    /// A datagram that came before.
    Replayed,
    /// A datagram of a kind that agents don't take.
    UnexpectedKind,
    /// A datagram for another service.
    ForeignService,
    /// The data centre was taken out.
    TakenOut,
    /// An answer for a caller that no balancer has delivered lately.
    NoRoute,
    /// The control thread is behind.
    ControlQueueFull,
    /// A control datagram that holds no message.
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

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RequestEnd {
    /// The caller has the server's whole answer.
    Answered,
    /// The request was refused and not run.
    NotRun,
    /// The request may have run, and no answer came.
    Unknown,
    /// The caller went away.
    Cancelled,
    /// The request was malformed.
    BadRequest,
    /// A recorded outcome answered a repeated request.
    Repeated,
}

/// Label of dropped datagrams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DropLabel {
    reason: DropReason,
}

/// Label of ended requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabel {
    end: RequestEnd,
}

/// Counters that all threads of the agent share.
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
}

impl AgentMetrics {
    /// Registers all counters.
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
    }

    /// Counts a dropped datagram.
    pub(crate) fn drop(&self, reason: DropReason) {
        self.dropped.get_or_create(&DropLabel { reason }).inc();
    }

    /// Counts an ended request.
    pub(crate) fn end(&self, end: RequestEnd) {
        self.ended.get_or_create(&EndLabel { end }).inc();
    }
}
