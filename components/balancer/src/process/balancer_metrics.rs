//! Metrics of the balancer.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

use crate::connection::DropReason;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DropLabel {
    pub(crate) reason: DropReason,
}

/// Metrics shared by all threads of the balancer.
#[derive(Clone, Default)]
pub(crate) struct BalancerMetrics {
    /// Datagrams of established flows forwarded to agents.
    pub(crate) forwarded: Counter,
    /// First packets placed at an agent.
    pub(crate) placed: Counter,
    /// Datagrams sent back to callers.
    pub(crate) response_datagrams: Counter,
    /// Stateless resets sent for flows of evacuated data centres.
    pub(crate) resets: Counter,
    /// Pings sent on paths that seem silent.
    pub(crate) pings: Counter,
    /// Silent paths moved to another source port.
    pub(crate) moved_paths: Counter,
    pub(crate) dropped: Family<DropLabel, Counter>,
    /// Bytes of control datagrams sent.
    pub(crate) control_sent_bytes: Counter,
    /// Bytes of control datagrams received.
    pub(crate) control_received_bytes: Counter,
    /// Number of the version in force.
    pub(crate) config_version: Gauge,
    /// Targets for new flows, over all services.
    pub(crate) targets: Gauge,
}

impl BalancerMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        let forwarded = self.forwarded.clone();
        registry.register("forwarded_datagrams", "Datagrams sent to agents", forwarded);
        let placed = self.placed.clone();
        registry.register(
            "placed_first_packets",
            "First packets sent to agents",
            placed,
        );
        let response_datagrams = self.response_datagrams.clone();
        registry.register(
            "answered_datagrams",
            "Datagrams sent to callers",
            response_datagrams,
        );
        let resets = self.resets.clone();
        registry.register(
            "stateless_resets",
            "Resets for taken-out data centres",
            resets,
        );
        let pings = self.pings.clone();
        registry.register("path_pings", "Probes of paths that seem silent", pings);
        let moved = self.moved_paths.clone();
        registry.register(
            "moved_paths",
            "Silent paths moved to another source port",
            moved,
        );
        let dropped = self.dropped.clone();
        registry.register("dropped_datagrams", "Datagrams dropped, by reason", dropped);
        let sent = self.control_sent_bytes.clone();
        registry.register(
            "control_sent_bytes",
            "Bytes of control datagrams sent",
            sent,
        );
        let received = self.control_received_bytes.clone();
        registry.register(
            "control_received_bytes",
            "Bytes of control datagrams read",
            received,
        );
        let version = self.config_version.clone();
        registry.register("config_version", "Configuration version in force", version);
        let targets = self.targets.clone();
        registry.register("targets", "Targets that take new flows", targets);
    }

    pub(crate) fn drop(&self, reason: DropReason) {
        self.dropped.get_or_create(&DropLabel { reason }).inc();
    }
}
