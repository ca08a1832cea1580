//! Failures of logs and metrics.

use std::net::SocketAddr;

use compact_str::CompactString;
use snafu::Snafu;

/// Reasons why logs or metrics can't be set up.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum TelemetryError {
    /// The filter isn't in the syntax of `tracing-subscriber`.
    #[snafu(display("log filter `{filter}`: {source}"))]
    BadFilter {
        /// The filter.
        filter: CompactString,
        /// What the parser reports.
        source: tracing_subscriber::filter::ParseError,
    },
    /// Logs were set up before.
    #[snafu(display("logs are set up already"))]
    LogsAreSet,
    /// The address of the metrics can't be opened.
    #[snafu(display("metrics address {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
