//! Configuration of one service.

use carobdrum_core::Millis;
use compact_str::CompactString;

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceConfig {
    /// Name of the service.
    pub name: CompactString,
    /// Time for which a server is cold after its start.
    pub cold_duration: Millis,
    /// Limit of a cold server, in requests per second; `None` for no limit.
    pub cold_rate: Option<f64>,
}
