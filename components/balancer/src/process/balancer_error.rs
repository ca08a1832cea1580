//! Errors of the balancer.

use std::net::SocketAddrV4;

use carobdrum_settings::SettingsError;
use snafu::Snafu;

/// Reasons why a balancer can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum BalancerError {
    /// The settings are invalid or their secret can't be read.
    #[snafu(display("{source}"), context(false))]
    BadSettings {
        /// Error of the settings.
        source: SettingsError,
    },
    /// A socket could not be opened.
    #[snafu(display("cannot open socket at {address}: {source}"))]
    SocketFailed {
        /// Address at which the socket was to be bound.
        address: SocketAddrV4,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The metrics server could not be started.
    #[snafu(display("cannot start metrics server: {source}"))]
    MetricsFailed {
        /// Cause of the failure.
        source: carobdrum_telemetry::TelemetryError,
    },
    /// A thread or a runtime could not be started.
    #[snafu(display("cannot start thread: {source}"))]
    ThreadFailed {
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// An actor could not be started.
    #[snafu(display("cannot start actor: {source}"), context(false))]
    ActorFailed {
        /// Cause of the failure.
        source: ractor::SpawnErr,
    },
    /// The control thread ended before it was ready.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
}
