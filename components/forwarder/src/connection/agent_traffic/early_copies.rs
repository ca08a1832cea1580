//! Early copies of packets to callers.

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        PacketResender,
        ResendAction,
        ResendLimits, //
    },
    FlowPacket,
    FlowTracker, //
};

use super::AgentTraffic;
use crate::process::ResendMetrics;

/// Time after which copies are decided on again while packets are waiting in the sockets.
const RETRY_INTERVAL: Millis = Millis(2);

/// Interval between removals of flows that the tracker no longer knows.
const EXPIRY_INTERVAL: Millis = Millis(1_000);

/// Early copies of an agent: the decisions, and the actions that follow from them.
#[derive(Debug)]
pub(super) struct EarlyCopies {
    /// `None` while copies are off.
    resender: Option<Box<PacketResender>>,
    actions: Vec<ResendAction>,
    metrics: ResendMetrics,
    expired: Millis,
}

impl EarlyCopies {
    pub(super) fn new(limits: ResendLimits, metrics: ResendMetrics, now: Millis) -> EarlyCopies {
        let mut copies = EarlyCopies {
            resender: None,
            actions: Vec::new(),
            metrics,
            expired: now,
        };
        copies.set_limits(limits, now);
        copies
    }

    /// Applies changed limits. Without copies, nothing is kept.
    pub(super) fn set_limits(&mut self, limits: ResendLimits, now: Millis) {
        match &mut self.resender {
            _ if limits.percent == 0 => self.resender = None,
            Some(resender) => resender.set_limits(limits, now),
            None => self.resender = Some(Box::new(PacketResender::new(limits, now))),
        }
    }

    /// Records a packet of a caller before the tracker decides about it.
    pub(super) fn note_forwarded(&mut self, packet: &FlowPacket, now: Millis) {
        if let Some(resender) = &mut self.resender {
            resender.note_forwarded(packet, now, &mut self.actions);
            self.count();
        }
    }

    /// Records a packet that has been sent to a caller, after the tracker has decided about it.
    pub(super) fn note_sent(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        tracker: &FlowTracker,
        now: Millis,
    ) {
        if let Some(resender) = &mut self.resender {
            let terms = tracker.copy_terms(packet.key);
            resender.note_sent(packet, bytes, terms, now, &mut self.actions);
            self.count();
        }
    }

    pub(super) fn next_deadline(&self) -> Option<Millis> {
        self.resender.as_ref()?.next_deadline()
    }

    pub(super) fn expire(&mut self, tracker: &FlowTracker, now: Millis) {
        if now.since(self.expired) < EXPIRY_INTERVAL {
            return;
        }
        self.expired = now;
        if let Some(resender) = &mut self.resender {
            resender.expire(|key| tracker.copy_terms(key));
        }
    }

    /// Counts the actions that need no packet.
    fn count(&mut self) {
        for action in self.actions.drain(..) {
            self.metrics.record(&action);
        }
    }
}

impl AgentTraffic {
    /// Sends copies of the packets that callers haven't acknowledged in time. All packets that have
    /// arrived are handled before, as they may end a flow or begin another request.
    pub(super) fn send_copies(&mut self) {
        let now = self.clock.now();
        if self.copies.next_deadline().is_none_or(|due| due > now) {
            return;
        }
        self.read_backend();
        self.read_forwards();
        let now = self.clock.now();
        let is_drained = self.outgoing.check_drained(now) && self.packets.check_drained(now);
        let Some(resender) = &mut self.copies.resender else {
            return;
        };
        if !is_drained {
            resender.postpone(now, now.plus(RETRY_INTERVAL));
        }
        let mut actions = std::mem::take(&mut self.copies.actions);
        let tracker = &self.tracker;
        resender.send_due(
            tracker.copy_hold(),
            |key| tracker.copy_terms(key),
            now,
            &mut actions,
        );
        for action in actions.drain(..) {
            self.copies.metrics.record(&action);
            if let ResendAction::Copy {
                key,
                packet,
                sequence,
                age,
            } = action
            {
                self.log.resent(key, sequence, age);
                let to = self.caller_port(key);
                self.packets.send(&packet, to);
            }
        }
        self.copies.actions = actions;
    }
}
