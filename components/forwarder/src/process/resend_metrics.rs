//! Metrics of early copies of packets.

use carobdrum_flows::connection::ResendAction;
use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family, //
    },
    registry::Registry,
};

use super::node_metrics::{
    CauseLabel,
    NodeMetrics, //
};

/// Metrics of the packets that an agent sends to callers again.
#[derive(Clone, Debug)]
pub(crate) struct ResendMetrics {
    /// Copies sent.
    sent: Counter,
    /// Copies whose use is known, by `useful` and `wasted`.
    ended: Family<CauseLabel, Counter>,
    /// Late packets of which no copy was sent, by cause.
    held: Family<CauseLabel, Counter>,
}

impl ResendMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &mut Registry) -> ResendMetrics {
        let metrics = ResendMetrics {
            sent: Counter::default(),
            ended: Family::default(),
            held: Family::default(),
        };
        let m = metrics.clone();
        registry.register(
            "early_copies",
            "Copies of packets sent to callers before the server retransmits",
            m.sent,
        );
        registry.register(
            "ended_early_copies",
            "Early copies whose use is known",
            m.ended,
        );
        registry.register(
            "held_early_copies",
            "Late packets without an early copy",
            m.held,
        );
        metrics
    }

    /// Counts an action.
    pub(crate) fn record(&self, action: &ResendAction) {
        match action {
            ResendAction::Copy { .. } => {
                self.sent.inc();
            }
            ResendAction::Ended { is_useful } => {
                let cause = if *is_useful { "useful" } else { "wasted" };
                NodeMetrics::count(&self.ended, cause);
            }
            ResendAction::Hold(hold) => NodeMetrics::count(&self.held, hold.name()),
        }
    }
}
