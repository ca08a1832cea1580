//! Later packets of a flow, in both directions.

use bytes::Bytes;
use carobdrum_core::Millis;

use super::FlowTracker;
use crate::{
    connection::{
        FlowEntry,
        FlowStage,
        RedirectCause,
        ResetCause, //
        TrackerAction,
    },
    request::{
        FlowKey,
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
};

impl FlowTracker {
    pub(super) fn handle_later(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut header: ForwardHeader,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        if self.follow_owner(packet, &mut header, now) {
            self.redirect_later(packet, header, RedirectCause::Followed, actions);
            return;
        }
        if self.take_former(packet, now, actions) {
            return;
        }
        let knows_all = self.coverage.is_complete(self.settings.flow_lifetime, now);
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            if knows_all || self.is_foreign(packet.key, &header, now) {
                self.redirect_later(packet, header, RedirectCause::NotHeld, actions);
            } else {
                self.deliver_unverified(packet.key, header, now, actions);
            }
            return;
        };
        entry.last_used = now;
        let is_held = match entry.stage {
            FlowStage::Opening => {
                entry.server_window.is_some() && entry.is_continued_by(packet.acknowledged)
            }
            FlowStage::Open | FlowStage::Unverified | FlowStage::Closed => {
                // A caller's reset need not acknowledge anything.
                packet.kind == PacketKind::Reset || entry.is_continued_by(packet.acknowledged)
            }
            FlowStage::NotHeld => false,
            FlowStage::Redirected(to) => {
                header.rest.retain(|candidate| *candidate != to);
                header.rest.insert(0, to);
                false
            }
        };
        if !is_held {
            let cause = match entry.stage {
                FlowStage::Redirected(_) => RedirectCause::Followed,
                _ => RedirectCause::NotHeld,
            };
            self.redirect_later(packet, header, cause, actions);
            return;
        }
        if matches!(entry.stage, FlowStage::Opening) {
            entry.stage = FlowStage::Open;
        }
        entry.header = header;
        if entry.stage == FlowStage::Open {
            let uninformed = entry.take_uninformed(self.settings.address, now);
            let announce = |to| TrackerAction::AnnounceOwner(to, packet.key);
            actions.extend(uninformed.into_iter().map(announce));
        }
        if entry.stage == FlowStage::Open && entry.header.hops > 1 {
            let balancer = entry.header.balancer;
            actions.push(TrackerAction::AnnounceOwner(balancer, packet.key));
        }
        entry.caller_expects = packet.acknowledged;
        if self.is_scheduling || !self.requests.is_empty() {
            self.schedule_later(packet, bytes, now, actions);
            return;
        }
        entry.note_delivered(packet, &mut self.load, now);
        actions.push(TrackerAction::Deliver);
    }

    /// Announces the owner of open flows that have become long, whether or not they have packets: the
    /// next packet of an idle flow may arrive at a balancer that wouldn't find the owner.
    pub fn announce_long_flows(&mut self, now: Millis, actions: &mut Vec<TrackerAction>) {
        for (key, entry) in &mut self.flows {
            if entry.stage != FlowStage::Open || !entry.informed.is_empty() {
                continue;
            }
            let uninformed = entry.take_uninformed(self.settings.address, now);
            let announce = |to| TrackerAction::AnnounceOwner(to, *key);
            actions.extend(uninformed.into_iter().map(announce));
        }
    }

    /// Puts the owner that announced itself in front of the remaining candidates, unless the server
    /// here may hold the flow; returns whether it did.
    fn follow_owner(
        &mut self,
        packet: &FlowPacket,
        header: &mut ForwardHeader,
        now: Millis,
    ) -> bool {
        let stage = self.flows.get(&packet.key).map(|entry| &entry.stage);
        let may_hold = stage
            .is_some_and(|stage| !matches!(stage, FlowStage::NotHeld | FlowStage::Redirected(_)));
        if may_hold {
            return false;
        }
        let Some(owner) = self.owners.owner(packet.key, now) else {
            return false;
        };
        header.rest.retain(|candidate| *candidate != owner);
        header.rest.insert(0, owner);
        true
    }

    /// Returns whether the server can't hold a flow to this address, as no version of the configuration led
    /// there. A balancer with a newer configuration may know better, and settings that no heartbeat has confirmed
    /// may be out of date.
    fn is_foreign(&self, key: FlowKey, header: &ForwardHeader, now: Millis) -> bool {
        let Some(config) = &self.config else {
            return false;
        };
        if config.revision < header.revision || !self.is_confirmed() {
            return false;
        }
        let services = config.possible_services(key.service_address, now);
        services
            .is_some_and(|mut services| services.all(|service| *service != self.settings.service))
    }

    /// Delivers a packet of an unknown flow. After a restart the agent can't know which flows its
    /// server holds; the server returns the packet if it doesn't hold the flow.
    pub(super) fn deliver_unverified(
        &mut self,
        key: FlowKey,
        header: ForwardHeader,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let entry = FlowEntry::new(FlowStage::Unverified, header, now);
        self.flows.insert(key, entry);
        actions.push(TrackerAction::Deliver);
    }

    /// Decides about a packet of the backend server and adds the resulting actions to `actions`.
    pub fn handle_backend(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.note_server_packet(packet, now);
        if packet.returned {
            self.handle_returned(packet, now, actions);
        } else if packet.kind == PacketKind::Reset && !self.is_held(packet.key) {
            self.drop_server_reset(packet.key, actions);
        } else {
            self.handle_sent(packet, now, actions);
        }
        if !self.requests.is_empty() {
            self.settle_held(packet.key, now, actions);
        }
    }

    /// Decides about a packet that the server sends to a caller.
    fn handle_sent(&mut self, packet: &FlowPacket, now: Millis, actions: &mut Vec<TrackerAction>) {
        actions.push(TrackerAction::ToCaller);
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            return;
        };
        entry.last_used = now;
        entry.opening_packet = None;
        if packet.kind != PacketKind::Accept {
            entry.served_since.get_or_insert(now);
        }
        if let Some(window) = &mut entry.server_window {
            window.extend(packet.sequence, packet.data_len);
        }
        match (&entry.stage, packet.kind) {
            (stage, PacketKind::Accept) => {
                if *stage == FlowStage::Opening {
                    self.return_pause.clear();
                }
                entry.note_accepted(packet.sequence);
            }
            (_, PacketKind::Reset) => entry.stage = FlowStage::Closed,
            (FlowStage::Unverified, _) => {
                entry.stage = FlowStage::Open;
                if entry.header.hops > 1 {
                    let balancer = entry.header.balancer;
                    actions.push(TrackerAction::AnnounceOwner(balancer, packet.key));
                }
            }
            _ => {}
        }
        let has_response = packet.data_len > 0 || packet.kind == PacketKind::Reset;
        if has_response {
            if let Some(start) = entry.request_started.take() {
                let time = now.since(start);
                let slots = self.load.slots();
                let is_queued = self.load.busy() > slots;
                if packet.kind != PacketKind::Reset {
                    self.work.record(time, is_queued, slots, now);
                }
                self.load.record_response(time);
                actions.push(TrackerAction::ResponseStarted(packet.key, time));
            }
        }
        if packet.kind == PacketKind::Finish {
            entry.server_done = true;
            if entry.close_if_done() {
                entry.abandon_request(&mut self.load);
            }
        }
    }

    /// Returns whether the server is known to hold a flow, or to have held it until its end.
    fn is_held(&self, key: FlowKey) -> bool {
        let stage = self.flows.get(&key).map(|entry| &entry.stage);
        matches!(stage, Some(FlowStage::Open | FlowStage::Closed))
    }

    /// Drops a reset of the server for a flow that may be open at another one: several servers get the
    /// opening packet if the first one doesn't answer in time.
    fn drop_server_reset(&mut self, key: FlowKey, actions: &mut Vec<TrackerAction>) {
        if let Some(entry) = self.flows.get_mut(&key) {
            if !matches!(entry.stage, FlowStage::Redirected(_)) {
                entry.stage = FlowStage::NotHeld;
            }
            entry.opening_packet = None;
            entry.abandon_request(&mut self.load);
        }
        actions.push(TrackerAction::Drop(key, RedirectCause::NotHeld));
    }

    /// Adds a response of the server to its failure rate.
    pub fn record_response(&mut self, failed: bool, now: Millis) {
        self.failure_rate.record(failed, now);
    }

    pub(super) fn handle_returned(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let is_former = !packet.is_open() && self.take_former(packet, now, actions);
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            if !is_former {
                actions.push(TrackerAction::Drop(packet.key, RedirectCause::NotHeld));
            }
            return;
        };
        if is_former {
            entry.stage = FlowStage::NotHeld;
            return;
        }
        if entry.is_certainly_open() && !packet.is_open() {
            self.cold.mark_unknown(now);
            self.reset_flow(packet.key, ResetCause::Returned, actions);
            return;
        }
        let mut header = entry.header.clone();
        let is_held = entry.stage == FlowStage::Open || entry.server_window.is_some();
        if packet.may_have_other_copies(Millis(0)) && is_held {
            // The server holds the flow by another copy.
            actions.push(TrackerAction::Drop(packet.key, RedirectCause::NotHeld));
            return;
        }
        if packet.is_open() {
            header.delivered |= packet.may_have_other_copies(now.since(entry.first_used));
            self.return_pause.note_return(now);
            self.remove_flow(packet.key);
            header.best = header
                .best
                .filter(|best| best.agent != self.settings.address);
            self.redirect_opening(
                packet.key,
                header,
                RedirectCause::NotHeld,
                None,
                now,
                actions,
            );
        } else {
            let is_held_elsewhere =
                matches!(entry.stage, FlowStage::Opening | FlowStage::Redirected(_));
            if !is_held_elsewhere {
                if entry.stage == FlowStage::Open {
                    // The server held the flow and has lost it, so it may have restarted.
                    self.cold.mark_unknown(now);
                }
                entry.stage = FlowStage::NotHeld;
                entry.abandon_request(&mut self.load);
            }
            let held_header = self.requests.holds(packet.key).then(|| header.clone());
            self.redirect_later(packet, header, RedirectCause::NotHeld, actions);
            if let Some(header) = held_header {
                self.redirect_held(packet.key, &header, actions);
            }
        }
    }

    /// Resets the open flows of a server that has ended or was restarted, so that their callers open
    /// new ones at once instead of waiting for an answer.
    pub fn reset_lost_flows(&mut self, actions: &mut Vec<TrackerAction>) {
        for (key, cause) in std::mem::take(&mut self.lost_flows) {
            self.reset_flow(key, cause, actions);
        }
    }

    fn reset_flow(&mut self, key: FlowKey, cause: ResetCause, actions: &mut Vec<TrackerAction>) {
        let Some(entry) = self.flows.get_mut(&key) else {
            return;
        };
        entry.stage = FlowStage::NotHeld;
        entry.abandon_request(&mut self.load);
        actions.push(TrackerAction::Reset(key, entry.caller_expects, cause));
        self.drop_held(key, actions);
    }

    /// Sends a packet that isn't the server's to its next candidate; without one, drops it. Reports its flow to the
    /// balancer if there is none, or if all that are left don't answer and may lose the packet.
    fn redirect_later(
        &self,
        packet: &FlowPacket,
        header: ForwardHeader,
        cause: RedirectCause,
        actions: &mut Vec<TrackerAction>,
    ) {
        let balancer = header.balancer;
        let has_answering = header.rest.len() > usize::from(header.silent);
        let redirect = next_redirect(packet.key, header, cause);
        actions.push(redirect.unwrap_or(TrackerAction::Drop(packet.key, RedirectCause::NotHeld)));
        if !has_answering {
            self.report_not_found(packet, balancer, actions);
        }
    }
}

/// Returns the redirect of a packet to its next candidate; `None` without one.
pub(super) fn next_redirect(
    key: FlowKey,
    mut header: ForwardHeader,
    cause: RedirectCause,
) -> Option<TrackerAction> {
    if header.rest.is_empty() {
        return None;
    }
    let to = header.rest.remove(0);
    Some(TrackerAction::Redirect {
        key,
        to,
        header,
        stored: None,
        cause,
    })
}
