//! Outcome of a heartbeat.

/// What became of a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The known run of the server continues.
    Continued,
    /// A new run of the server has started; the flows of the run before, if there was one, are lost.
    Started,
    /// The run that claimed to be live has taken the place of the known one, which has fallen silent.
    /// The server may already hold flows that were opened since its start.
    Replaced,
    /// The run started before the known one, by the time of day: either the heartbeat is late, or the
    /// time of day was set back. No new flow is accepted until it is clear which run is live.
    Contested,
    /// The heartbeat repeats a known one, or its run has deregistered.
    Stale,
    /// The heartbeat comes from a server on another VM, and says nothing about the agent's own one.
    Foreign,
    /// The heartbeat names another service than the settings, and says nothing about the agent's server either. The
    /// settings are out of date if another service uses the server's address now.
    OtherService,
}

impl HeartbeatOutcome {
    /// Returns whether the state of the heartbeat is that of the server from now on.
    pub fn is_applied(self) -> bool {
        matches!(
            self,
            HeartbeatOutcome::Continued | HeartbeatOutcome::Started | HeartbeatOutcome::Replaced
        )
    }

    /// Returns whether the heartbeat says nothing about the agent's server.
    pub fn is_misdirected(self) -> bool {
        matches!(
            self,
            HeartbeatOutcome::Foreign | HeartbeatOutcome::OtherService
        )
    }
}
