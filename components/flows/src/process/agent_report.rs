//! Report of an agent to the balancers that send to it.

/// State of an agent's backend server, sent to balancers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Whether the agent accepts new flows.
    pub accepts: bool,
    /// Recent share of the server's responses that are failures, in percent.
    pub failure_percent: u8,
    /// Number of requests in progress at the server, including queued ones.
    pub busy: u32,
    /// Number of requests that the agent holds until a slot is free; they aren't in progress.
    pub queued: u32,
    /// Number of requests that the server processes at once.
    pub slots: u32,
    /// Store revision of the agent's configuration; zero before the first one.
    pub revision: u64,
    /// Whether the server has sent a heartbeat since the agent's start. Before, the agent doesn't
    /// know whether its server is shutting down.
    pub is_confirmed: bool,
}
