//! What the configuration says of one service.

use carobdrum_core::Millis;
use compact_str::CompactString;

/// What the configuration says of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: CompactString,
    /// Time that a server stays cold after its start.
    pub cold_duration: Millis,
    /// Requests per second that a cold server bears; `None` if no limit is stated.
    pub cold_rate: Option<f64>,
}
