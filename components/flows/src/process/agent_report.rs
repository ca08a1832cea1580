//! What an agent tells the balancers that send to it.

/// State of an agent's backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentReport {
    /// Whether the agent takes new flows.
    pub accepts: bool,
    /// Share of the server's answers that are failures, in percent.
    pub failure_percent: u8,
    /// Requests in progress at the server.
    pub busy: u32,
    /// Requests that the server works on at once.
    pub slots: u32,
    /// Revision of the store that the agent's configuration has.
    pub revision: u64,
}
