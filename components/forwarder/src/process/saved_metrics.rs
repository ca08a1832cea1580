//! Metrics of the flows that an agent saves, and of those that its former process saved.

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge, //
    },
    registry::Registry,
};

use super::node_metrics::CauseLabel;

/// Metrics of saved flows.
#[derive(Clone, Debug)]
pub(crate) struct SavedMetrics {
    /// Flows in the list that was saved last.
    pub(crate) flows: Gauge,
    /// Saves, by outcome.
    pub(crate) saves: Family<CauseLabel, Counter>,
    /// Resets of flows of a former run of the server, by cause.
    pub(crate) resets: Family<CauseLabel, Counter>,
}

impl SavedMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &mut Registry) -> SavedMetrics {
        let metrics = SavedMetrics {
            flows: Gauge::default(),
            saves: Family::default(),
            resets: Family::default(),
        };
        let m = metrics.clone();
        registry.register(
            "saved_flows",
            "Flows in the list that was saved last",
            m.flows,
        );
        registry.register("flow_saves", "Saves of the long flows", m.saves);
        registry.register(
            "former_resets",
            "Resets of flows of a former run of the server",
            m.resets,
        );
        metrics
    }
}
