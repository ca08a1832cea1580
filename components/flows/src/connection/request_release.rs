//! End of the time for which a request is held.

use carobdrum_core::Millis;

/// Reason for which a held request is sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseCause {
    /// A slot is free for its class.
    Slot,
    /// It has waited for half of its latency objective.
    HalfObjective,
    /// It has waited for the longest time for which requests are held.
    Limit,
    /// The queue is full.
    Full,
    /// Requests are no longer held: the agent stops, the data centre is evacuated, the server
    /// drains, or the routes or the settings have changed.
    Stopping,
    /// The caller has aborted the flow.
    Aborted,
}

impl ReleaseCause {
    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            ReleaseCause::Slot => "slot",
            ReleaseCause::HalfObjective => "half_objective",
            ReleaseCause::Limit => "limit",
            ReleaseCause::Full => "full",
            ReleaseCause::Stopping => "stopping",
            ReleaseCause::Aborted => "aborted",
        }
    }
}

/// A request that was held and is sent to the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRelease {
    /// Priority class of the request.
    pub class: u8,
    /// Time for which it was held.
    pub waited: Millis,
    /// Number of its packets that are sent now.
    pub packets: u32,
    /// Reason for which it is sent.
    pub cause: ReleaseCause,
}
