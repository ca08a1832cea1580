//! Change of a server's weight.

use std::net::SocketAddrV4;

use super::AgentReport;

/// Change of a server's weight for new flows at a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WeightChange {
    /// The agent of the server.
    pub agent: SocketAddrV4,
    /// The agent's last report.
    pub report: AgentReport,
    /// The weight from now on, in eighths.
    pub eighths: u8,
}
