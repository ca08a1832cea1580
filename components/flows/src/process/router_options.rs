//! Optional features of a balancer's routing.

/// Optional features of a balancer's routing; each is off by default.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouterOptions {
    /// Whether open flows that no server holds are searched for and reset.
    pub reset_lost: bool,
    /// Whether new flows are placed by the speed and the open flows of the servers.
    pub weigh_servers: bool,
}
