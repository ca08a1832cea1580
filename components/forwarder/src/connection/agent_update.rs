//! Messages from the control thread to the traffic thread of an agent.

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        ResendLimits,
        SavedFlows,
        ServerSilence, //
    },
    process::{
        BackendHeartbeat,
        HeartbeatOutcome, //
    },
    TrackerSettings,
};
use compact_str::CompactString;
use tokio::sync::oneshot;

/// Message of the control thread to the traffic thread of an agent.
#[derive(Debug)]
pub(crate) enum AgentUpdate {
    /// The settings have changed.
    Settings(TrackerSettings, ResendLimits),
    /// A heartbeat that the backend server sent at this time or later; the reply tells whether it was
    /// applied.
    Heartbeat(BackendHeartbeat, Millis, oneshot::Sender<BackendOutcome>),
    /// The backend server with this identity deregisters; it isn't applied if another one is known.
    Deregister(CompactString, oneshot::Sender<BackendOutcome>),
    /// The backend server has ended.
    ServerEnded,
    /// Asks whether the server is silent while flows are open.
    FindSilence(oneshot::Sender<Option<ServerSilence>>),
    /// The server has ended in this silence.
    EndedIn(ServerSilence),
    /// Flows that the agent's former process has saved, and the time from which none of them lives.
    FormerFlows(SavedFlows, Millis),
    /// Asks for the long flows that the server holds, to save them; the reply is `None` if there is nothing to save.
    FindLongFlows(oneshot::Sender<Option<SavedFlows>>),
    /// The server has ended, and the registration of this revision couldn't be deleted: hand the deletion over
    /// to balancers; `None` ends that.
    HandOver(Option<u64>),
    /// The process is shutting down; the reply is sent when no flow is open.
    Stop(oneshot::Sender<()>),
}

/// What became of a request of the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendOutcome {
    /// Whether it was applied, and if not, why.
    pub(crate) outcome: HeartbeatOutcome,
    /// Whether the agent knows all flows of its server.
    pub(crate) knows_all_flows: bool,
    /// Whether the server is shutting down or has deregistered, as far as the agent knows now.
    pub(crate) is_leaving: bool,
}
