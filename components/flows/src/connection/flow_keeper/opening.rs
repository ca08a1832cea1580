//! Opening packets: taking, passing on, refusing.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use super::{
    FlowKeeper, //
    ACCEPT_TIME,
    DISTANCE_US,
};
use crate::{
    connection::{
        wait_limit_us, //
        FlowEntry,
        FlowStage,
        KeeperAction,
        PassCause,
    },
    process::name_hash,
    request::{
        BestOffer,
        FlowKey,
        FlowPacket,
        ForwardHead,
        PacketKind, //
    },
};

/// Agents that a copy of an opening packet may have seen when it still goes the way of an earlier
/// one. The ways of several copies may form a loop.
const FOLLOW_HOPS: u8 = 7;

impl FlowKeeper {
    pub(super) fn take_open(
        &mut self,
        packet: &FlowPacket,
        bytes: &Bytes,
        mut head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let key = packet.key;
        if let Some(entry) = self.flows.get_mut(&key) {
            match entry.stage {
                FlowStage::Offered { .. } | FlowStage::Open => {
                    entry.used = now;
                    actions.push(KeeperAction::Deliver);
                    return;
                }
                FlowStage::Passed(to) => follow_copy(&mut head, to),
                _ => {}
            }
        }
        if let Some(cause) = self
            .refusal(now)
            .or_else(|| self.route_refusal(packet, &head, now))
        {
            self.pass_open(key, head, cause, None, now, actions);
            return;
        }
        let wait_us = self.load.wait_us();
        let bearable = wait_us <= self.wait_limit_us(packet);
        if wait_us == 0 || (head.assigned && bearable) {
            self.accept(key, bytes, head, now, actions);
            return;
        }
        if bearable {
            self.offer_load(&mut head, wait_us);
        }
        let last = head.has_asked_all(DISTANCE_US);
        match head.best {
            Some(best) if last && best.agent == self.settings.address => {
                self.accept(key, bytes, head, now, actions);
            }
            _ => self.pass_open(key, head, PassCause::Busy, None, now, actions),
        }
    }

    pub(super) fn wait_limit_us(&self, packet: &FlowPacket) -> u32 {
        let route = self
            .rules
            .as_ref()
            .and_then(|rules| rules.route(packet.key.service));
        let PacketKind::Open { retransmission } = packet.kind else {
            return u32::MAX;
        };
        route.map_or(u32::MAX, |route| wait_limit_us(route, retransmission))
    }

    pub(super) fn offer_load(&self, head: &mut ForwardHead, wait_us: u32) {
        let distance_us = if head.centre == self.centre {
            0
        } else {
            DISTANCE_US
        };
        let offer = BestOffer {
            agent: self.settings.address,
            wait_us: wait_us + distance_us,
        };
        if head.best.is_none_or(|best| offer.wait_us < best.wait_us) {
            head.best = Some(offer);
        }
    }

    pub(super) fn accept(
        &mut self,
        key: FlowKey,
        bytes: &Bytes,
        head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        self.forget(key);
        self.cold.take(now);
        self.load.begin();
        self.offers.push_back((now.plus(ACCEPT_TIME), key));
        actions.push(KeeperAction::Deliver);
        if head.hops > 1 || head.delivered {
            actions.push(KeeperAction::Hint(head.balancer, key));
        }
        let stage = FlowStage::Offered {
            server_sequence: None,
        };
        let mut entry = FlowEntry::new(stage, head, now);
        entry.request = Some(now);
        entry.opening = Some(bytes.clone());
        self.flows.insert(key, entry);
    }

    /// Sends an opening packet to the next candidate, to the best one at the end of the list, or
    /// refuses it.
    pub(super) fn pass_open(
        &mut self,
        key: FlowKey,
        mut head: ForwardHead,
        cause: PassCause,
        stored: Option<Bytes>,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let to = match head.best {
            Some(best) if head.has_asked_all(DISTANCE_US) && !head.assigned => {
                head.assigned = true;
                Some(best.agent)
            }
            _ if head.rest.is_empty() => None,
            _ => {
                head.near = head.near.saturating_sub(1);
                Some(head.rest.remove(0))
            }
        };
        let Some(to) = to else {
            let action = if head.delivered {
                KeeperAction::Drop(key, cause)
            } else {
                KeeperAction::Refuse(key, cause)
            };
            actions.push(action);
            return;
        };
        let offered = self.flows.get(&key).is_some_and(|entry| {
            matches!(entry.stage, FlowStage::Offered { .. } | FlowStage::Open)
        });
        if !offered {
            let entry = FlowEntry::new(FlowStage::Passed(to), head.clone(), now);
            self.flows.insert(key, entry);
        }
        actions.push(KeeperAction::PassOn {
            key,
            to,
            head,
            stored,
            cause,
        });
    }

    /// Passes on the opening packets that the server didn't answer in time, and no longer counts the
    /// offers that no caller took up as load.
    pub fn check_offers(&mut self, now: Millis, actions: &mut Vec<KeeperAction>) {
        while let Some((due, key)) = self.offers.front().copied() {
            if due > now {
                return;
            }
            self.offers.pop_front();
            let Some(entry) = self.flows.get_mut(&key) else {
                continue;
            };
            if matches!(entry.stage, FlowStage::Offered { .. }) && entry.request.take().is_some() {
                self.load.end();
            }
            let Some(opening) = entry.opening.take() else {
                continue;
            };
            let mut head = entry.head.clone();
            if head.rest.is_empty() {
                continue;
            }
            head.delivered = true;
            head.best = None;
            head.assigned = false;
            self.pass_open(key, head, PassCause::NoAnswer, Some(opening), now, actions);
        }
    }

    /// Returns when [`FlowKeeper::check_offers`] is due.
    pub fn next_offer(&self) -> Option<Millis> {
        self.offers.front().map(|(due, _)| *due)
    }

    /// Returns why the server takes no new flow at all now.
    pub(super) fn refusal(&self, now: Millis) -> Option<PassCause> {
        if self.stopping {
            return Some(PassCause::Stopping);
        }
        if !self.life.takes_flows(now) {
            return Some(PassCause::Unavailable);
        }
        if self.returns.is_paused(now) {
            return Some(PassCause::Returning);
        }
        let rules = self.rules.as_ref()?;
        if rules.is_closed(&self.settings.centre) {
            return Some(PassCause::Closed);
        }
        None
    }

    /// Returns why the server doesn't take this flow now.
    pub(super) fn route_refusal(
        &mut self,
        packet: &FlowPacket,
        head: &ForwardHead,
        now: Millis,
    ) -> Option<PassCause> {
        if head.service != name_hash(&self.service) {
            return Some(PassCause::WrongService);
        }
        let rules = self.rules.as_ref()?;
        if let Some(route) = rules.route(packet.key.service) {
            if !route.allows(&self.service) {
                return Some(PassCause::WrongService);
            }
        } else if rules.revision >= head.revision {
            return Some(PassCause::WrongService);
        }
        let room = self.cold_has_room(now);
        (!room).then_some(PassCause::Cold)
    }

    /// Returns whether a cold server may get another flow, under the limit of its service.
    pub(super) fn cold_has_room(&mut self, now: Millis) -> bool {
        let rate = self
            .rules
            .as_ref()
            .and_then(|rules| rules.service(&self.service))
            .and_then(|rules| rules.cold_rate);
        let Some(rate) = rate else {
            return true;
        };
        let limit = rate * self.settings.cold_factor + self.settings.cold_slack;
        self.cold
            .has_room(now, (limit.floor() as u32).saturating_sub(1))
    }
}

/// Sends a copy of an opening packet the way of an earlier one, whose end may hold the flow.
fn follow_copy(head: &mut ForwardHead, to: SocketAddrV4) {
    let is_loop = head.hops > FOLLOW_HOPS;
    if !head.assigned && !is_loop && !head.rest.contains(&to) {
        head.rest.insert(0, to);
    }
}
