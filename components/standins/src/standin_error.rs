//! Error of a stand-in's start.

use std::net::SocketAddr;

use snafu::Snafu;

/// Error of a stand-in's start or of a change of its addresses.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StandinError {
    /// A listening address can't be bound.
    #[snafu(display("cannot bind {address}: {source}"))]
    Bind {
        /// The address that was asked for; port 0 lets the system pick one.
        address: SocketAddr,
        /// Error of the system.
        source: std::io::Error,
    },
}
