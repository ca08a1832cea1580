//! Errors of logs and metrics.

use std::net::SocketAddr;

use compact_str::CompactString;
use snafu::Snafu;

/// Reasons why logs or metrics can't be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TelemetryError {
    /// The filter isn't in the syntax of `tracing-subscriber`.
    #[snafu(display("invalid log filter `{filter}`: {source}"))]
    InvalidFilter {
        /// Filter as the user gave it.
        filter: CompactString,
        /// Error of the parser.
        source: tracing_subscriber::filter::ParseError,
    },
    /// The process has already set up logs.
    #[snafu(display("logs are already set up"))]
    LogsAlreadySet,
    /// The address of the metrics server can't be bound.
    #[snafu(display("binding metrics address {address} failed: {source}"))]
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
}
