//! Failures of the agent.

use std::{
    net::SocketAddrV4,
    path::PathBuf, //
};

use carobdrum_settings::SettingsError;
use snafu::Snafu;

/// Reasons why an agent can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum AgentError {
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
    /// A certificate or key file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    UnreadablePem {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: rustls_pki_types::pem::Error,
    },
    /// Certificate and key can't be used.
    #[snafu(display("certificate and key can't be used: {source}"))]
    BadCertificate {
        /// The cause.
        source: rustls::Error,
    },
    /// The certificate's key can't serve QUIC.
    #[snafu(display("no cipher suite for QUIC: {source}"))]
    NoInitialCipher {
        /// The cause.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The control thread ended before it was ready.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
    /// No key ring is in force.
    #[snafu(display("no key ring is in force"))]
    NoKeys,
}
