//! Metrics of the requests that an agent holds.

use carobdrum_flows::connection::RequestRelease;
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

/// Upper bounds of the histogram of the time for which requests are held, in seconds.
const HELD_TIME_BOUNDS: [f64; 8] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.3, 0.6];

/// Label that names a class of requests, and why they were sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReleaseLabel {
    class: u32,
    cause: &'static str,
}

/// Metrics of the requests that an agent holds until the server has a slot for them.
#[derive(Clone, Debug)]
pub(crate) struct HeldMetrics {
    /// Requests held now.
    pub(crate) queued: Gauge,
    /// Requests that were held, by class and by the reason for which they were sent.
    released: Family<ReleaseLabel, Counter>,
    /// Time for which requests were held.
    time: Histogram,
}

impl HeldMetrics {
    /// Creates the metrics and registers them.
    pub(crate) fn register(registry: &mut Registry) -> HeldMetrics {
        let metrics = HeldMetrics {
            queued: Gauge::default(),
            released: Family::default(),
            time: Histogram::new(HELD_TIME_BOUNDS),
        };
        let m = metrics.clone();
        registry.register(
            "queued_requests",
            "Requests on open flows that wait for a slot",
            m.queued,
        );
        registry.register(
            "held_requests",
            "Requests that were held, by class and cause of sending",
            m.released,
        );
        let help = "Time for which requests were held";
        registry.register_with_unit("held_time", help, Unit::Seconds, m.time);
        metrics
    }

    /// Counts a request that was held and is sent now.
    pub(crate) fn record(&self, release: RequestRelease) {
        let label = ReleaseLabel {
            class: u32::from(release.class),
            cause: release.cause.name(),
        };
        self.released.get_or_create(&label).inc();
        self.time.observe(release.waited.0 as f64 / 1_000.0);
    }
}
