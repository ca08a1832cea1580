//! Requests that another agent asks this agent to run.

/// Largest number of requests of other agents that run at once. It is below the number of control
/// connections that an agent serves, so that other control calls find one.
const MAX_RUNS: usize = 16;

/// State of an agent that decides whether it runs a request of another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOffer {
    /// Whether the request is for the agent's own service and one of its routes.
    pub is_own_service: bool,
    /// Whether the request may be repeated.
    pub is_repeatable: bool,
    /// Whether the agent's server has warmed up.
    pub is_warm: bool,
    /// Whether the agent's graceful shutdown has started.
    pub is_draining: bool,
    /// Whether the agent's data centre is evacuated.
    pub is_evacuated: bool,
    /// Number of requests of other agents that run now.
    pub running: usize,
}

/// Reason why an agent doesn't run a request of another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunRefusal {
    /// The request isn't for the agent's service, or none of its routes takes it.
    ForeignService,
    /// The request may not be repeated.
    NotRepeatable,
    /// The agent's server is cold.
    Cold,
    /// The agent's graceful shutdown has started.
    Draining,
    /// The agent's data centre is evacuated.
    Evacuated,
    /// No slot is free at once.
    NoSlot,
}

impl RunOffer {
    /// Decides whether the request runs if a slot is free.
    ///
    /// # Errors
    ///
    /// Returns the [`RunRefusal`] of a request that doesn't run.
    pub fn decide(self) -> Result<(), RunRefusal> {
        if !self.is_repeatable {
            return Err(RunRefusal::NotRepeatable);
        }
        if !self.is_own_service {
            return Err(RunRefusal::ForeignService);
        }
        if self.is_evacuated {
            return Err(RunRefusal::Evacuated);
        }
        if self.is_draining {
            return Err(RunRefusal::Draining);
        }
        if !self.is_warm {
            return Err(RunRefusal::Cold);
        }
        if self.running >= MAX_RUNS {
            return Err(RunRefusal::NoSlot);
        }
        Ok(())
    }
}
