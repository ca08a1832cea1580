//! Packets of flows after the opening one, in both directions.

use carobdrum_core::Millis;

use super::{
    FlowKeeper,
    OFFER_SPAN, //
};
use crate::{
    connection::{
        FlowEntry,
        FlowStage,
        KeeperAction,
        PassCause, //
    },
    request::{
        FlowKey,
        FlowPacket,
        ForwardHead,
        PacketKind, //
    },
};

impl FlowKeeper {
    pub(super) fn take_later(
        &mut self,
        packet: &FlowPacket,
        mut head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            self.try_server(packet.key, head, now, actions);
            return;
        };
        entry.used = now;
        let held = match entry.stage {
            FlowStage::Offered {
                server_sequence: Some(first),
            } => packet.acknowledged.wrapping_sub(first) < OFFER_SPAN,
            FlowStage::Offered {
                server_sequence: None,
            } => false,
            FlowStage::Open | FlowStage::Trial | FlowStage::Closed => true,
            FlowStage::Foreign => false,
            FlowStage::Passed(to) => {
                head.rest.retain(|candidate| *candidate != to);
                head.rest.insert(0, to);
                false
            }
        };
        if !held {
            let cause = match entry.stage {
                FlowStage::Passed(_) => PassCause::Followed,
                _ => PassCause::NotHeld,
            };
            pass_later(packet.key, head, cause, actions);
            return;
        }
        if matches!(entry.stage, FlowStage::Offered { .. }) {
            entry.stage = FlowStage::Open;
        }
        entry.head = head;
        let asks = packet.data_len > 0 && entry.stage == FlowStage::Open;
        if asks && entry.request.replace(now).is_none() {
            self.load.begin();
        }
        let closes = match packet.kind {
            PacketKind::Reset => {
                entry.stage = FlowStage::Closed;
                true
            }
            PacketKind::Finish => {
                entry.caller_done = true;
                entry.close_if_done()
            }
            _ => false,
        };
        if closes && entry.request.take().is_some() {
            self.load.end();
        }
        actions.push(KeeperAction::Deliver);
    }

    /// Delivers a packet of an unknown flow. The server returns it if it doesn't hold the flow,
    /// which the agent can't know after a restart.
    pub(super) fn try_server(
        &mut self,
        key: FlowKey,
        head: ForwardHead,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let entry = FlowEntry::new(FlowStage::Trial, head, now);
        self.flows.insert(key, entry);
        actions.push(KeeperAction::Deliver);
    }

    /// Decides about a packet of the backend server.
    pub fn take_backend(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        if packet.returned {
            self.take_returned(packet, now, actions);
            return;
        }
        self.life.take_sign(now);
        actions.push(KeeperAction::ToCaller);
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            return;
        };
        entry.used = now;
        entry.opening = None;
        match (&mut entry.stage, packet.kind) {
            (FlowStage::Offered { server_sequence }, PacketKind::Accept) => {
                *server_sequence = Some(packet.sequence);
                self.returns.clear();
            }
            (_, PacketKind::Reset) => entry.stage = FlowStage::Closed,
            (FlowStage::Trial, _) => entry.stage = FlowStage::Open,
            _ => {}
        }
        let answers = packet.data_len > 0 || packet.kind == PacketKind::Reset;
        if answers {
            if let Some(start) = entry.request.take() {
                let time = now.since(start);
                self.load.answer(time);
                actions.push(KeeperAction::Answered(packet.key, time));
            }
        }
        if packet.kind == PacketKind::Finish {
            entry.server_done = true;
            if entry.close_if_done() && entry.request.take().is_some() {
                self.load.end();
            }
        }
    }

    /// Notes whether an answer of the server is a failure.
    pub fn note_answer(&mut self, failed: bool, now: Millis) {
        self.failures.record(failed, now);
    }

    pub(super) fn take_returned(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<KeeperAction>,
    ) {
        let Some(entry) = self.flows.get_mut(&packet.key) else {
            actions.push(KeeperAction::Drop(packet.key, PassCause::NotHeld));
            return;
        };
        let mut head = entry.head.clone();
        if packet.is_open() {
            self.returns.note_return(now);
            self.forget(packet.key);
            head.best = head.best.filter(|best| best.agent != self.settings.address);
            self.pass_open(packet.key, head, PassCause::NotHeld, None, now, actions);
        } else {
            let elsewhere = matches!(
                entry.stage,
                FlowStage::Offered { .. } | FlowStage::Passed(_)
            );
            if !elsewhere {
                if entry.stage == FlowStage::Open {
                    // The server held the flow and has forgotten it.
                    self.cold.suspect_restart();
                }
                entry.stage = FlowStage::Foreign;
                if entry.request.take().is_some() {
                    self.load.end();
                }
            }
            pass_later(packet.key, head, PassCause::NotHeld, actions);
        }
    }
}

fn pass_later(
    key: FlowKey,
    mut head: ForwardHead,
    cause: PassCause,
    actions: &mut Vec<KeeperAction>,
) {
    if head.rest.is_empty() {
        actions.push(KeeperAction::Drop(key, PassCause::NotHeld));
        return;
    }
    let to = head.rest.remove(0);
    actions.push(KeeperAction::PassOn {
        key,
        to,
        head,
        stored: None,
        cause,
    });
}
