//! Flows that are saved for the agent's next process, and those that its former one has saved.

use std::cmp::Reverse;

use carobdrum_core::Millis;

use super::FlowTracker;
use crate::{
    connection::{
        FlowEntry,
        FlowStage,
        ResetCause,
        SavedFlow,
        SavedFlows,
        SettledList,
        TrackerAction,
        MAX_SAVED_FLOWS, //
    },
    request::{
        FlowKey,
        FlowPacket,
        PacketKind, //
    },
    version::SiteConfig,
};

/// Time by which the start of a run may lie ahead of the agent's clock. One that lies further ahead shows that the clock
/// was set back since: a late heartbeat of a run that has ended would look like one of a later run.
const MAX_RUN_AHEAD_MS: u64 = 10_000;

impl FlowTracker {
    /// Returns the long flows that the live run of the server certainly holds, to be saved at `unix_ms`. Returns
    /// `None` if no run is certainly live, or if there is no such flow and the list of a former run is still of
    /// use or the agent is shutting down.
    pub fn long_flows(&self, unix_ms: u64, now: Millis) -> Option<SavedFlows> {
        let (run, confirmed) = self.liveness.proven_run()?;
        // The next run may have accepted flows that were served after the last heartbeat of this one.
        let is_saved = |entry: &FlowEntry| {
            let is_of_run = entry.served_since.is_some_and(|since| since <= confirmed);
            entry.is_certainly_open() && is_of_run && entry.is_long(now) && entry.caller_expects > 0
        };
        let entries = self.flows.iter().filter(|(_, entry)| is_saved(entry));
        let mut entries: Vec<(&FlowKey, &FlowEntry)> = entries.collect();
        if entries.is_empty() && (self.stopping || !self.former.is_empty()) {
            return None;
        }
        entries.sort_unstable_by_key(|(key, entry)| (Reverse(entry.last_used), **key));
        entries.truncate(MAX_SAVED_FLOWS);
        let flows = entries.into_iter().map(|(key, entry)| SavedFlow {
            key: *key,
            sequence: entry.caller_expects,
        });
        Some(SavedFlows {
            run,
            saved_unix_ms: unix_ms,
            flows: flows.collect(),
        })
    }

    /// Keeps the list that a former process has saved, at most until `expires`.
    pub fn set_former_flows(&mut self, list: SavedFlows, expires: Millis) {
        self.former.set_list(list, expires);
    }

    /// Decides about the list of a former process once it is clear which run of the server is live, and
    /// returns the decision. It is called after each heartbeat.
    pub fn settle_former_flows(&mut self, now: Millis) -> Option<SettledList> {
        if self.former.is_empty() {
            return None;
        }
        let latest = self.coverage.unix_ms(now).saturating_add(MAX_RUN_AHEAD_MS);
        let live = self.liveness.live_run();
        let live = live.filter(|run| run.started_ms <= latest);
        self.former.settle(live.as_ref(), now)
    }

    /// Resets the flows of the former run that are due, so that their callers learn of the loss before their
    /// next request.
    pub fn reset_former_flows(&mut self, now: Millis, actions: &mut Vec<TrackerAction>) {
        let (slots, has_room) = (self.load.slots(), self.has_room());
        let config = self.config.clone();
        let repeats = |key| repeats_requests(config.as_deref(), key);
        while let Some((flow, cause)) = self.former.take_due(slots, has_room, repeats, now) {
            if self.is_reopened(flow.key, now) {
                self.former.remove(flow.key);
                continue;
            }
            actions.push(TrackerAction::Reset(flow.key, flow.sequence, cause));
        }
    }

    /// Returns when [`FlowTracker::reset_former_flows`] is due next; `None` if no flow is left, or before the server has
    /// room.
    pub fn next_former_reset(&self, now: Millis) -> Option<Millis> {
        self.former.next_due(self.has_room(), now)
    }

    /// Takes a later packet of a flow of the former run, which is answered with a reset; returns whether it did.
    pub(super) fn take_former(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) -> bool {
        // A caller that resets a flow waits for nothing.
        let is_lost = packet.kind != PacketKind::Reset
            && self.former.is_lost(packet.key, packet.acknowledged, now);
        if !is_lost || self.is_reopened(packet.key, now) {
            return false;
        }
        let number = packet.acknowledged;
        let repeats = repeats_requests(self.config.as_deref(), packet.key);
        if repeats && (self.former.has_waiting() || !self.has_room()) {
            self.former.postpone(packet.key, number, now);
        } else {
            self.former.note_reset(packet.key);
            let cause = ResetCause::FormerPacket;
            actions.push(TrackerAction::Reset(packet.key, number, cause));
        }
        true
    }

    fn has_room(&self) -> bool {
        self.load.busy() < self.load.slots()
    }

    /// Returns whether a server may hold a flow that was opened with these endpoints since the start of the agent.
    fn is_reopened(&mut self, key: FlowKey, now: Millis) -> bool {
        let is_opened =
            |entry: &FlowEntry| !matches!(entry.stage, FlowStage::Unverified | FlowStage::NotHeld);
        let lifetime = self.settings.flow_lifetime;
        self.flows.get(&key).is_some_and(is_opened)
            || self.recent_flows.may_hold(key, lifetime, now)
            || self.owners.owner(key, now).is_some()
    }
}

/// Returns whether callers of this flow may repeat a request whose flow was reset, as far as is known.
fn repeats_requests(config: Option<&SiteConfig>, key: FlowKey) -> bool {
    let route = config.and_then(|config| config.route(key.service_address));
    route.is_none_or(|route| route.is_idempotent)
}
