//! Failures of the balancer.

use std::net::SocketAddrV4;

use carobdrum_settings::SettingsError;
use snafu::Snafu;

/// Reasons why a balancer can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BalancerError {
    /// The settings can't be used.
    #[snafu(display("{source}"), context(false))]
    BadSettings {
        /// What is wrong with them.
        source: SettingsError,
    },
    /// A socket can't be opened.
    #[snafu(display("socket at {address} can't be opened: {source}"))]
    SocketFailed {
        /// The address.
        address: SocketAddrV4,
        /// The cause.
        source: std::io::Error,
    },
    /// The metrics can't be served.
    #[snafu(display("metrics can't be served: {source}"))]
    MetricsFailed {
        /// The cause.
        source: carobdrum_telemetry::TelemetryError,
    },
    /// A thread or its runtime can't be started.
    #[snafu(display("thread can't be started: {source}"))]
    ThreadFailed {
        /// The cause.
        source: std::io::Error,
    },
    /// An actor can't be started.
    #[snafu(display("actor can't be started: {source}"), context(false))]
    ActorFailed {
        /// The cause.
        source: ractor::SpawnErr,
    },
    /// The control thread ended before it was ready.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
}
