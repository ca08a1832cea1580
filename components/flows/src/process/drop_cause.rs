//! Reasons for which a balancer doesn't forward a packet.

/// Reason for which a balancer drops a packet or refuses a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropCause {
    /// No configuration or no agents are known yet.
    NotReady,
    /// No route has the packet's address, or the route has no service.
    NoRoute,
    /// No agent of the service is known.
    NoAgent,
    /// No server of the service can serve the flow in time.
    NoRoom,
    /// The packet is of a kind that only backend servers send.
    Forged,
}

impl DropCause {
    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            DropCause::NotReady => "not_ready",
            DropCause::NoRoute => "no_route",
            DropCause::NoAgent => "no_agent",
            DropCause::NoRoom => "no_room",
            DropCause::Forged => "forged",
        }
    }
}
