//! Detection of a silent backend server.

use carobdrum_core::Millis;

use super::FlowTracker;

/// Silence of a backend server, which ends with its next heartbeat or packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSilence {
    /// Number of heartbeats and packets before it.
    activity_count: u64,
}

impl FlowTracker {
    /// Returns the silence of the server if no heartbeat and no packet has come for the activity timeout
    /// while flows are open. A server that is leaving may refuse connections and still hold flows.
    pub fn server_silence(&self, now: Millis) -> Option<ServerSilence> {
        let activity_count = self.liveness.activity_count();
        let is_silent = self.liveness.is_silent(now) && !self.is_leaving() && self.open_flows() > 0;
        is_silent.then_some(ServerSilence { activity_count })
    }

    /// Records that the server has ended, as its address refused a connection during this silence; returns
    /// false if the silence is over, as then another run of the server may hold the flows.
    pub fn note_ended_in(&mut self, silence: ServerSilence) -> bool {
        let is_silent = self.liveness.activity_count() == silence.activity_count;
        if is_silent {
            self.note_server_ended();
        }
        is_silent
    }
}
