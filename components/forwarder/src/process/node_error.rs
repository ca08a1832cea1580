//! Error of a daemon.

use std::{
    io,
    net::SocketAddrV4, //
};

use carobdrum_telemetry::TelemetryError;
use ractor::SpawnErr;
use snafu::Snafu;

/// Reason for which a daemon can't run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum NodeError {
    /// A socket can't be bound.
    #[snafu(display("can't bind {address}: {source}"))]
    Bind {
        /// Address of the socket.
        address: SocketAddrV4,
        /// Error of the system.
        source: io::Error,
    },
    /// A thread, a runtime or a signal handler can't be created.
    #[snafu(display("can't create a thread, a runtime or a signal handler: {source}"))]
    Start {
        /// Error of the system.
        source: io::Error,
    },
    /// The metrics can't be served.
    #[snafu(display("can't serve the metrics: {source}"))]
    Metrics {
        /// The cause.
        source: TelemetryError,
    },
    /// The lease actor can't start.
    #[snafu(display("can't start the lease actor: {source}"))]
    Actor {
        /// The cause.
        source: SpawnErr,
    },
    /// The traffic thread has ended early; its error is in the log.
    #[snafu(display("the traffic thread has ended"))]
    TrafficEnded,
    /// The settings of an agent name no backend server.
    #[snafu(display("settings: section `backend` is missing"))]
    NoBackend,
}
