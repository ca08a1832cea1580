//! Why a daemon can't run.

use std::{
    io,
    net::SocketAddrV4, //
};

use carobdrum_telemetry::TelemetryError;
use ractor::SpawnErr;
use snafu::Snafu;

/// Why a daemon can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// An address can't be opened.
    #[snafu(display("{address}: can't be opened: {source}"))]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// What the system reports.
        source: io::Error,
    },
    /// A thread, a runtime or a signal handler can't be made.
    #[snafu(display("can't start: {source}"))]
    Start {
        /// What the system reports.
        source: io::Error,
    },
    /// The metrics can't be served.
    #[snafu(display("metrics: {source}"))]
    Metrics {
        /// The cause.
        source: TelemetryError,
    },
    /// An actor can't start.
    #[snafu(display("can't start: {source}"))]
    Actor {
        /// The cause.
        source: SpawnErr,
    },
    /// The traffic thread has ended; its error is in the log.
    #[snafu(display("the traffic thread has ended"))]
    TrafficEnded,
    /// The settings name no backend server.
    #[snafu(display("settings: section `backend` is missing"))]
    NoBackend,
}
