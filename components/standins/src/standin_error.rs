//! Reasons why a stand-in can't start.

use std::net::SocketAddr;

use snafu::Snafu;

/// Reasons why a stand-in can't start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// The address can't be bound.
    #[snafu(display("{address}: can't be bound: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
}
