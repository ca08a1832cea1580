//! Opening packets: whether to deliver, redirect or refuse them.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use super::{
    FlowTracker, //
    ACCEPT_TIMEOUT,
    REMOTE_PENALTY_US,
};
use crate::{
    connection::{
        wait_limit_us, //
        FlowEntry,
        FlowStage,
        RedirectCause,
        TrackerAction,
    },
    process::name_hash,
    request::{
        BestOffer,
        FlowKey,
        FlowPacket,
        ForwardHeader,
        PacketKind, //
    },
};

/// Number of agents passed up to which a retransmission of an opening packet still follows the path
/// of an earlier copy. The paths of several copies may form a loop.
const MAX_FOLLOW_HOPS: u8 = 7;

impl FlowTracker {
    pub(super) fn handle_opening(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut header: ForwardHeader,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let key = packet.key;
        self.former.remove(key);
        if let Some(entry) = self.flows.get_mut(&key) {
            match entry.stage {
                FlowStage::Opening | FlowStage::Open => {
                    entry.last_used = now;
                    // Another service may use the address of a server that has been silent.
                    actions.push(if self.liveness.is_active(now) {
                        TrackerAction::Deliver
                    } else {
                        TrackerAction::Drop(key, RedirectCause::Unavailable)
                    });
                    return;
                }
                FlowStage::Redirected(to) => follow_earlier(&mut header, to),
                _ => {}
            }
        }
        let revision = self.config.as_ref().map_or(0, |config| config.revision);
        if self.is_evacuated() && revision < header.revision {
            // The balancer knows of a change that may have ended the evacuation, during which the server
            // may have turned cold.
            self.cold.mark_unknown(now);
        }
        if let Some(cause) = self
            .server_exclusion_cause(now)
            .or_else(|| self.config_exclusion_cause(packet, &header))
            .or_else(|| (!self.cold_has_room(now)).then_some(RedirectCause::Cold))
        {
            self.redirect_opening(key, header, cause, None, now, actions);
            return;
        }
        let wait_us = self.expected_wait_us(key, now);
        let is_acceptable = wait_us <= self.wait_limit_us(packet);
        if wait_us == 0 || (header.assigned && is_acceptable) {
            self.accept(key, bytes, header, now, actions);
            return;
        }
        if is_acceptable {
            self.add_offer(&mut header, wait_us);
        }
        let has_asked_all = header.has_asked_all(REMOTE_PENALTY_US);
        match header.best {
            Some(best) if has_asked_all && best.agent == self.settings.address => {
                self.accept(key, bytes, header, now, actions);
            }
            _ => self.redirect_opening(key, header, RedirectCause::Busy, None, now, actions),
        }
    }

    pub(super) fn wait_limit_us(&self, packet: &FlowPacket) -> u32 {
        let route = self
            .config
            .as_ref()
            .and_then(|config| config.route(packet.key.service_address));
        let PacketKind::Open { retransmission } = packet.kind else {
            return u32::MAX;
        };
        route.map_or(u32::MAX, |route| wait_limit_us(route, retransmission))
    }

    pub(super) fn add_offer(&self, header: &mut ForwardHeader, wait_us: u32) {
        let penalty_us = if header.centre_hash == self.centre {
            0
        } else {
            REMOTE_PENALTY_US
        };
        let offer = BestOffer {
            agent: self.settings.address,
            wait_us: wait_us.saturating_add(penalty_us),
        };
        if header.best.is_none_or(|best| offer.wait_us < best.wait_us) {
            header.best = Some(offer);
        }
    }

    pub(super) fn accept(
        &mut self,
        key: FlowKey,
        bytes: &Bytes,
        header: ForwardHeader,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        self.remove_flow(key);
        self.cold.record(now);
        self.load.begin();
        self.opening_deadlines
            .push_back((now.plus(ACCEPT_TIMEOUT), key));
        actions.push(TrackerAction::Deliver);
        if header.hops > 1 || header.delivered {
            actions.push(TrackerAction::AnnounceOwner(header.balancer, key));
        }
        let stage = FlowStage::Opening;
        let mut entry = FlowEntry::new(stage, header, now);
        entry.request_started = Some(now);
        entry.opening_packet = Some(bytes.clone());
        self.flows.insert(key, entry);
    }

    /// Redirects an opening packet to the next candidate, or to the best offer once all candidates
    /// have been asked; refuses it if there is none.
    pub(super) fn redirect_opening(
        &mut self,
        key: FlowKey,
        mut header: ForwardHeader,
        cause: RedirectCause,
        stored: Option<Bytes>,
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) {
        let to = match header.best {
            Some(best) if header.has_asked_all(REMOTE_PENALTY_US) && !header.assigned => {
                header.assigned = true;
                Some(best.agent)
            }
            _ if header.rest.is_empty() => None,
            _ => {
                header.near = header.near.saturating_sub(1);
                Some(header.rest.remove(0))
            }
        };
        let Some(to) = to else {
            let action = if header.delivered {
                TrackerAction::Drop(key, cause)
            } else {
                TrackerAction::Refuse(key, cause)
            };
            actions.push(action);
            return;
        };
        let is_held = self
            .flows
            .get(&key)
            .is_some_and(|entry| matches!(entry.stage, FlowStage::Opening | FlowStage::Open));
        if !is_held {
            let entry = FlowEntry::new(FlowStage::Redirected(to), header.clone(), now);
            if let Some(replaced) = self.flows.insert(key, entry) {
                self.note_removed(key, &replaced);
            }
        }
        actions.push(TrackerAction::Redirect {
            key,
            to,
            header,
            stored,
            cause,
        });
    }

    /// Redirects the opening packets that the server didn't answer in time, and removes the load of
    /// delivered flows that their callers haven't continued.
    pub fn check_openings(&mut self, now: Millis, actions: &mut Vec<TrackerAction>) {
        while let Some((due, key)) = self.opening_deadlines.front().copied() {
            if due > now {
                return;
            }
            self.opening_deadlines.pop_front();
            let Some(entry) = self.flows.get_mut(&key) else {
                continue;
            };
            if matches!(entry.stage, FlowStage::Opening) {
                entry.abandon_request(&mut self.load);
            }
            let Some(opening_packet) = entry.opening_packet.take() else {
                continue;
            };
            let mut header = entry.header.clone();
            if header.rest.is_empty() {
                continue;
            }
            header.delivered = true;
            header.best = None;
            header.assigned = false;
            self.redirect_opening(
                key,
                header,
                RedirectCause::NoAnswer,
                Some(opening_packet),
                now,
                actions,
            );
        }
    }

    /// Returns when [`FlowTracker::check_openings`] is due next; `None` if nothing is waiting.
    pub fn next_opening_deadline(&self) -> Option<Millis> {
        self.opening_deadlines.front().map(|(due, _)| *due)
    }

    /// Returns the reason for which the server accepts no new flow at all now.
    pub fn exclusion_cause(&self, now: Millis) -> Option<RedirectCause> {
        let evacuated = self.is_evacuated().then_some(RedirectCause::Evacuated);
        self.server_exclusion_cause(now).or(evacuated)
    }

    pub(super) fn is_evacuated(&self) -> bool {
        let config = self.config.as_ref();
        config.is_some_and(|config| config.is_evacuated(&self.settings.centre))
    }

    fn server_exclusion_cause(&self, now: Millis) -> Option<RedirectCause> {
        if self.stopping {
            return Some(RedirectCause::Stopping);
        }
        if !self.is_confirmed() {
            return Some(RedirectCause::Unconfirmed);
        }
        if self.liveness.is_contested() {
            return Some(RedirectCause::Contested);
        }
        if !self.liveness.accepts_flows(now) {
            return Some(RedirectCause::Unavailable);
        }
        if self.return_pause.is_paused(now) {
            return Some(RedirectCause::Paused);
        }
        None
    }

    /// Returns the reason for which the configuration excludes this flow from the server. The newer
    /// one of the balancer and the agent decides.
    fn config_exclusion_cause(
        &self,
        packet: &FlowPacket,
        header: &ForwardHeader,
    ) -> Option<RedirectCause> {
        if header.service_hash != name_hash(&self.settings.service) {
            return Some(RedirectCause::WrongService);
        }
        let config = self.config.as_ref()?;
        if config.revision < header.revision {
            return None;
        }
        if self.is_evacuated() {
            return Some(RedirectCause::Evacuated);
        }
        let route = config.route(packet.key.service_address);
        let allows = route.is_some_and(|route| route.allows(&self.settings.service));
        (!allows).then_some(RedirectCause::WrongService)
    }

    /// Returns whether the server may get another flow under the cold-start limit of its service. Before the configuration
    /// is known, any service may have a limit, which is no lower than the slack.
    pub(super) fn cold_has_room(&mut self, now: Millis) -> bool {
        let rate = match &self.config {
            Some(config) => {
                let service = config.service(&self.settings.service);
                service.and_then(|service| service.cold_rate)
            }
            None => Some(0.0),
        };
        let Some(rate) = rate else {
            return true;
        };
        let limit = rate * self.settings.cold_factor + self.settings.cold_slack;
        self.cold
            .has_room(now, (limit.floor() as u32).saturating_sub(1))
    }
}

/// Sends a retransmission along the path of an earlier copy, as the agent at its end may hold the
/// flow.
fn follow_earlier(header: &mut ForwardHeader, to: SocketAddrV4) {
    let is_loop = header.hops > MAX_FOLLOW_HOPS;
    if !header.assigned && !is_loop && !header.rest.contains(&to) {
        header.rest.insert(0, to);
    }
}
