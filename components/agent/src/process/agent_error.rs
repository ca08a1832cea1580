//! Errors of the agent.

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
    /// The settings are invalid or their secret can't be read.
    #[snafu(display("{source}"), context(false))]
    BadSettings {
        /// Error of the settings.
        source: SettingsError,
    },
    /// A socket could not be opened or configured.
    #[snafu(display("cannot open socket at {address}: {source}"))]
    SocketFailed {
        /// Address of the socket.
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
    /// A certificate or key file could not be read or parsed.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    UnreadablePem {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: rustls_pki_types::pem::Error,
    },
    /// The certificate and its key are not usable for TLS.
    #[snafu(display("invalid certificate or key: {source}"))]
    BadCertificate {
        /// Cause of the failure.
        source: rustls::Error,
    },
    /// The TLS configuration has no cipher suite for QUIC's Initial packets.
    #[snafu(display("no cipher suite for QUIC Initial packets: {source}"))]
    NoInitialCipher {
        /// Cause of the failure.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The control thread ended before it was ready.
    #[snafu(display("the control thread ended before it was ready"))]
    ControlEnded,
    /// No key ring is in force.
    #[snafu(display("no key ring is in force"))]
    NoKeys,
}
