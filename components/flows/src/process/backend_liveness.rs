//! Liveness of the backend server beside an agent.

use carobdrum_core::Millis;
use compact_str::CompactString;

use super::{
    BackendHeartbeat,
    BackendState,
    HeartbeatOutcome,
    ServerRun, //
};

/// Shortest time between two heartbeats of a server that goes on after a deregistration. Servers send one every 770 ms or
/// less often.
const RETURN_INTERVAL: Millis = Millis(500);

/// Liveness of the backend server beside an agent, from its heartbeats and packets.
///
/// Before the first heartbeat the server counts as inactive: an agent that starts knows neither
/// whether the server has ended, so that another service may soon reuse its address, nor whether it
/// is shutting down.
#[derive(Debug)]
pub struct BackendLiveness {
    heartbeat: Option<BackendHeartbeat>,
    last_heartbeat: Millis,
    /// Whether the known run was live at its last heartbeat: it has sent another one to this agent, or had just started.
    /// The first heartbeat after the start of the agent may be a late one.
    is_proven: bool,
    /// Last heartbeat of a run that claims to be live beside the known one.
    rival: Option<BackendHeartbeat>,
    /// Last heartbeat of the run whose place the known one has taken.
    replaced: Option<BackendHeartbeat>,
    last_activity: Millis,
    activity_timeout: Millis,
    /// Time of the deregistration of the known run, or of a former one with the same id.
    deregistered: Option<Millis>,
    /// Sequence number and time of a heartbeat that came long after the deregistration.
    returning: Option<(u64, Millis)>,
    /// Number of heartbeats and packets, those of a deregistered server and stale ones included.
    activity_count: u64,
    last_sign: Millis,
}

impl BackendLiveness {
    /// Creates the state of a server that has not sent a heartbeat. After each heartbeat or packet
    /// it counts as alive for `activity_timeout`.
    ///
    /// `activity_timeout` must be shorter than the time after which another service may reuse the
    /// address of a server that has ended.
    pub fn new(activity_timeout: Millis) -> BackendLiveness {
        BackendLiveness {
            heartbeat: None,
            last_heartbeat: Millis(0),
            is_proven: false,
            rival: None,
            replaced: None,
            last_activity: Millis(0),
            activity_timeout,
            deregistered: None,
            returning: None,
            activity_count: 0,
            last_sign: Millis(0),
        }
    }

    /// Changes the time without activity after which the server gets no new flows.
    pub fn set_activity_timeout(&mut self, activity_timeout: Millis) {
        self.activity_timeout = activity_timeout;
    }

    /// Applies a heartbeat that the server sent at `sent` or later, unless it is stale or its run is
    /// contested. `is_first` tells whether it is one of the first of its run, which therefore can't have ended before the
    /// known one began.
    pub fn handle_heartbeat(
        &mut self,
        heartbeat: BackendHeartbeat,
        is_first: bool,
        sent: Millis,
        now: Millis,
    ) -> HeartbeatOutcome {
        self.note_sign(sent);
        let Some(known) = &self.heartbeat else {
            self.is_proven = is_first;
            self.apply(heartbeat, sent);
            return HeartbeatOutcome::Started;
        };
        if known.is_same_run(&heartbeat) {
            let is_new = heartbeat.sequence > known.sequence;
            if !is_new || !self.is_registered(heartbeat.sequence, now) {
                return HeartbeatOutcome::Stale;
            }
            self.is_proven = true;
            self.apply(heartbeat, sent);
            return HeartbeatOutcome::Continued;
        }
        let is_replaced = |replaced: &BackendHeartbeat| replaced.is_same_run(&heartbeat);
        // A late heartbeat of an earlier run names a later start if the clock was set back between the two.
        let is_live = self.is_proven && now.since(self.last_heartbeat) < self.activity_timeout;
        let may_be_late = is_live && !is_first;
        if heartbeat.started_ms < known.started_ms
            || may_be_late
            || self.replaced.as_ref().is_some_and(is_replaced)
        {
            return self.handle_rival(heartbeat, sent, now);
        }
        self.replaced = None;
        self.is_proven = is_first;
        self.apply(heartbeat, sent);
        HeartbeatOutcome::Started
    }

    /// Handles a heartbeat of a run that is live only if the known one has ended. Its heartbeats then
    /// go on, while late ones of an ended run come together, and the known run sends its own.
    fn handle_rival(
        &mut self,
        heartbeat: BackendHeartbeat,
        sent: Millis,
        now: Millis,
    ) -> HeartbeatOutcome {
        let earlier = self.rival.as_ref();
        let earlier = earlier.filter(|rival| rival.is_same_run(&heartbeat));
        if earlier.is_some_and(|rival| heartbeat.sequence <= rival.sequence) {
            return HeartbeatOutcome::Stale;
        }
        let is_silent = now.since(self.last_heartbeat) >= self.activity_timeout;
        if earlier.is_none() || !is_silent {
            self.rival = Some(heartbeat);
            return HeartbeatOutcome::Contested;
        }
        self.replaced = self.heartbeat.take();
        self.is_proven = true;
        self.apply(heartbeat, sent);
        HeartbeatOutcome::Replaced
    }

    /// Returns whether the known run is registered when it sends a heartbeat with this sequence number. A deregistration
    /// names no run, so that of a former one with the same id may arrive late. Two heartbeats long after it show that the
    /// run goes on; late ones of a run that has ended come together.
    fn is_registered(&mut self, sequence: u64, now: Millis) -> bool {
        let Some(deregistered) = self.deregistered else {
            return true;
        };
        if now.since(deregistered) < self.activity_timeout {
            return false;
        }
        let (first, at) = *self.returning.get_or_insert((sequence, now));
        sequence > first && now.since(at) >= RETURN_INTERVAL
    }

    fn apply(&mut self, heartbeat: BackendHeartbeat, sent: Millis) {
        self.heartbeat = Some(heartbeat);
        self.last_heartbeat = sent;
        self.rival = None;
        self.last_activity = self.last_activity.max(sent);
        self.deregistered = None;
        self.returning = None;
    }

    /// Marks the server as deregistered at `now`; returns false if its last heartbeat had another identity.
    pub fn deregister(&mut self, id: &str, now: Millis) -> bool {
        let is_current = self
            .heartbeat
            .as_ref()
            .is_none_or(|heartbeat| heartbeat.id == id);
        if is_current {
            self.deregistered = Some(now);
            self.returning = None;
        }
        is_current
    }

    /// Returns the time at which the known run sent its last heartbeat, or an earlier one; `None` before the first
    /// heartbeat.
    pub fn last_heartbeat(&self) -> Option<Millis> {
        self.heartbeat.as_ref().map(|_| self.last_heartbeat)
    }

    /// Returns whether the server has sent a heartbeat to this agent.
    pub fn is_confirmed(&self) -> bool {
        self.heartbeat.is_some()
    }

    /// Returns whether it is unclear which of two runs of the server is live.
    pub fn is_contested(&self) -> bool {
        self.rival.is_some()
    }

    /// Returns the run of the server; `None` before the first heartbeat, and while it is unclear which run is live.
    pub fn live_run(&self) -> Option<ServerRun> {
        let heartbeat = self.heartbeat.as_ref().filter(|_| !self.is_contested())?;
        Some(ServerRun {
            server_id: heartbeat.id.clone(),
            started_ms: heartbeat.started_ms,
        })
    }

    /// Returns the run of the server, which was certainly live when it sent its last heartbeat, at this time or later;
    /// `None` while only a heartbeat names it that may be a late one of a run that has ended.
    pub fn proven_run(&self) -> Option<(ServerRun, Millis)> {
        let run = self.live_run().filter(|_| self.is_proven)?;
        Some((run, self.last_heartbeat))
    }

    /// Returns whether the server is shutting down or has deregistered.
    pub fn is_leaving(&self) -> bool {
        let heartbeat = self.heartbeat.as_ref();
        let draining = heartbeat.is_some_and(|heartbeat| heartbeat.state == BackendState::Draining);
        self.deregistered.is_some() || draining
    }

    /// Records a packet that the server sent, at `sent` or later, for a flow that it holds.
    pub fn note_activity(&mut self, sent: Millis) {
        self.note_sign(sent);
        if self.deregistered.is_none() {
            self.last_activity = self.last_activity.max(sent);
        }
    }

    fn note_sign(&mut self, sent: Millis) {
        self.activity_count += 1;
        self.last_sign = self.last_sign.max(sent);
    }

    /// Returns whether neither a heartbeat nor a packet has come for the activity timeout, also if the
    /// server has deregistered.
    pub fn is_silent(&self, now: Millis) -> bool {
        now.since(self.last_sign) >= self.activity_timeout
    }

    /// Returns the number of heartbeats and packets that have come from the server.
    pub fn activity_count(&self) -> u64 {
        self.activity_count
    }

    /// Returns whether the server has shown activity recently enough that no other service can use
    /// its address.
    pub fn is_active(&self, now: Millis) -> bool {
        now.since(self.last_activity) < self.activity_timeout
    }

    /// Returns whether the server accepts new flows.
    pub fn accepts_flows(&self, now: Millis) -> bool {
        let is_known = self.is_confirmed() && !self.is_contested();
        is_known && !self.is_leaving() && self.is_active(now)
    }

    /// Returns the service that the last applied heartbeat named; `None` before the first one.
    pub fn service(&self) -> Option<&CompactString> {
        self.heartbeat.as_ref().map(|heartbeat| &heartbeat.service)
    }
}
