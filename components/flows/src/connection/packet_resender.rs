//! Early retransmission: copies of packets that a caller hasn't acknowledged in time.

mod outcomes;

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use bytes::Bytes;
use carobdrum_core::{
    request::HedgeBudget,
    Millis, //
};
use hashbrown::HashMap;

use super::{
    acknowledgement_delay::{
        AcknowledgementDelay,
        AcknowledgementKind,
        MAX_COPY_AGE, //
    },
    late_share::LateShare,
    unacknowledged_flow::{
        FlowView,
        SentPacket,
        UnacknowledgedFlow, //
    },
    unacknowledged_packet::{
        PacketState,
        UnacknowledgedPacket, //
    },
    CopyTerms,
    ResendAction,
    ResendHold,
    ResendLimits, //
};
use crate::request::{
    FlowKey,
    FlowPacket,
    PacketKind, //
};

/// Limit of the memory that the kept packets of all flows take, in bytes.
const MAX_MEMORY: usize = 256 * 1024;

/// Delay of a decision from which the process counts as paused.
const PAUSE: Millis = Millis(20);

/// Decides which packets of a server are sent to their callers again before the server does so.
///
/// The caller of a flow acknowledges every second packet, and a last odd one late. A packet is sent
/// again if it is the one that the caller expects next and the acknowledgement takes longer than such
/// acknowledgements do. The copies stay within a percentage of the server's data packets.
///
/// Only flows whose acceptance the agent has seen are known, and only responses to a single packet of
/// the caller are kept: otherwise a newer response might have begun.
#[derive(Clone, Debug)]
pub struct PacketResender {
    limits: ResendLimits,
    budget: HedgeBudget,
    delays: AcknowledgementDelay,
    late_share: LateShare,
    flows: HashMap<FlowKey, UnacknowledgedFlow>,
    /// Times at which flows are looked at. An entry other than that in the flow is outdated.
    deadlines: BinaryHeap<Reverse<(Millis, FlowKey)>>,
    memory: usize,
    /// Reused by [`PacketResender::note_forwarded`].
    acknowledged: Vec<UnacknowledgedPacket>,
}

impl PacketResender {
    /// Creates the state of a process that has just started, or whose operator has just allowed copies.
    pub fn new(limits: ResendLimits, now: Millis) -> PacketResender {
        PacketResender {
            limits,
            budget: HedgeBudget::new(limits.percent, now),
            delays: AcknowledgementDelay::default(),
            late_share: LateShare::default(),
            flows: HashMap::new(),
            deadlines: BinaryHeap::new(),
            memory: 0,
            acknowledged: Vec::new(),
        }
    }

    /// Applies changed limits. Another percentage begins with an empty budget.
    pub fn set_limits(&mut self, limits: ResendLimits, now: Millis) {
        if limits.percent != self.limits.percent {
            self.budget = HedgeBudget::new(limits.percent, now);
        }
        self.limits = limits;
    }

    /// Records a packet of a caller that has arrived, before it is delivered, held or redirected.
    pub fn note_forwarded(
        &mut self,
        packet: &FlowPacket,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&packet.key) else {
            return;
        };
        if packet.kind != PacketKind::Data {
            // An opening packet may begin another flow of the same endpoints.
            self.forget(packet.key);
            return;
        }
        let before = flow.memory();
        let mut acknowledged = std::mem::take(&mut self.acknowledged);
        let mut view = flow.acknowledge(packet.acknowledged, &mut acknowledged);
        if view == FlowView::Known && packet.data_len > 0 {
            view = flow.note_request(packet);
        }
        self.memory = self.memory + flow.memory() - before;
        self.settle(packet.key, &acknowledged, now, actions);
        acknowledged.clear();
        self.acknowledged = acknowledged;
        match view {
            FlowView::Known => self.schedule(packet.key, now),
            FlowView::Unknown => self.forget(packet.key),
        }
    }

    /// Records a packet that the server sends to a caller. `terms` are those of its flow after the
    /// tracker has handled the packet; `None` if nothing of the flow may be sent again.
    pub fn note_sent(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: Option<CopyTerms>,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        let Some(terms) = terms.filter(|_| packet.kind != PacketKind::Reset) else {
            self.forget(packet.key);
            return;
        };
        if packet.kind == PacketKind::Accept {
            self.note_accepted(packet, bytes, terms, now, actions);
            return;
        }
        let Some(flow) = self.flows.get_mut(&packet.key) else {
            return;
        };
        match flow.note_sent(packet, now) {
            SentPacket::New { is_kept } => {
                self.budget.count_request(now);
                if is_kept && terms.is_open {
                    self.keep(packet, bytes, now, actions);
                }
                self.schedule(packet.key, now);
            }
            SentPacket::Repeated(Some((state, kind))) => {
                self.note_repeated(state, kind, now, actions);
            }
            SentPacket::Repeated(None) | SentPacket::Empty => {}
            SentPacket::Unknown => self.forget(packet.key),
        }
    }

    fn note_accepted(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        terms: CopyTerms,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        if let Some(flow) = self.flows.get_mut(&packet.key) {
            if flow.is_accepted_by(packet.sequence) {
                if let Some((state, kind)) = flow.note_repeated(packet.sequence) {
                    self.note_repeated(state, kind, now, actions);
                }
                return;
            }
        }
        self.forget(packet.key);
        if terms.is_open {
            // A late copy of the acceptance of a flow that the caller has continued.
            return;
        }
        let flow = UnacknowledgedFlow::new(packet.sequence);
        self.flows.insert(packet.key, flow);
        if now < terms.accept_until {
            self.keep(packet, bytes, now, actions);
            self.schedule(packet.key, now);
        }
    }

    /// Keeps a packet if there is room.
    fn keep(
        &mut self,
        packet: &FlowPacket,
        bytes: &[u8],
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        let Some(flow) = self.flows.get_mut(&packet.key) else {
            return;
        };
        if self.memory + flow.memory_for(bytes.len()) > MAX_MEMORY {
            flow.skip();
            actions.push(ResendAction::Hold(ResendHold::Memory));
            return;
        }
        let before = flow.memory();
        flow.keep(packet, Bytes::copy_from_slice(bytes), now);
        self.memory = self.memory + flow.memory() - before;
    }

    /// Enters the time at which the flow's missing packet is late.
    fn schedule(&mut self, key: FlowKey, now: Millis) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let min_delay = self.limits.min_delay;
        let Some(deadline) = flow.deadline(&mut self.delays, min_delay, now) else {
            return;
        };
        // A packet may have become the missing one after it was late.
        let due = deadline.max(now);
        if flow.queued.is_none_or(|queued| due < queued) {
            flow.queued = Some(due);
            self.deadlines.push(Reverse((due, key)));
        }
    }

    /// Returns when [`PacketResender::send_due`] is due next; `None` if no packet waits for an
    /// acknowledgement.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.deadlines.peek().map(|Reverse((due, _))| *due)
    }

    /// Decides about the packets that are late, and adds the copies to `actions`. Everything that has
    /// arrived before has to be handled already.
    ///
    /// `hold` is the reason for which the agent sends no copies at all, and `terms` returns what its
    /// tracker knows of a flow.
    pub fn send_due(
        &mut self,
        hold: Option<ResendHold>,
        terms: impl Fn(FlowKey) -> Option<CopyTerms>,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        while let Some(Reverse((due, key))) = self.deadlines.peek().copied() {
            if due > now {
                return;
            }
            self.deadlines.pop();
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            if flow.queued != Some(due) {
                continue;
            }
            flow.queued = None;
            let min_delay = self.limits.min_delay;
            match flow.deadline(&mut self.delays, min_delay, now) {
                Some(deadline) if deadline <= now => {}
                _ => {
                    self.schedule(key, now);
                    continue;
                }
            }
            if now.since(due) >= PAUSE {
                self.clear_after_pause(actions);
                return;
            }
            match terms(key) {
                Some(terms) => self.decide(key, terms, hold, now, actions),
                None => self.forget(key),
            }
        }
    }

    /// Decides about the missing packet of a flow, which is late.
    fn decide(
        &mut self,
        key: FlowKey,
        terms: CopyTerms,
        hold: Option<ResendHold>,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        self.late_share.record(true, now);
        let Some(missing) = self.flows.get_mut(&key).and_then(|flow| flow.missing()) else {
            return;
        };
        missing.state = PacketState::Held;
        let age = now.since(missing.sent);
        let is_in_time = match missing.kind {
            AcknowledgementKind::Acceptance => now < terms.accept_until,
            _ => terms.is_open,
        };
        let hold = if hold.is_some() {
            hold
        } else if age >= MAX_COPY_AGE || !is_in_time {
            Some(ResendHold::Late)
        } else if self.late_share.is_congested(now) {
            Some(ResendHold::Congested)
        } else if !self.budget.take_hedge(now) {
            Some(ResendHold::Budget)
        } else {
            None
        };
        if let Some(hold) = hold {
            actions.push(ResendAction::Hold(hold));
            return;
        }
        missing.state = PacketState::Copied(now);
        actions.push(ResendAction::Copy {
            key,
            packet: missing.bytes.clone(),
            sequence: missing.sequence,
            age,
        });
    }

    /// Removes all kept packets: after a pause the flows may have ended, and the server retransmits.
    fn clear_after_pause(&mut self, actions: &mut Vec<ResendAction>) {
        for flow in self.flows.values_mut() {
            if flow.missing().is_some() {
                actions.push(ResendAction::Hold(ResendHold::Paused));
            }
            flow.clear();
            flow.queued = None;
        }
        self.deadlines.clear();
        self.memory = 0;
    }

    /// Postpones the decisions that are due to `until`, since packets have arrived that aren't handled
    /// yet. Those that have been due for long are left, so that a pause is noticed.
    pub fn postpone(&mut self, now: Millis, until: Millis) {
        while let Some(Reverse((due, key))) = self.deadlines.peek().copied() {
            if due > now || now.since(due) >= PAUSE {
                return;
            }
            self.deadlines.pop();
            if let Some(flow) = self.flows.get_mut(&key) {
                if flow.queued == Some(due) {
                    flow.queued = Some(until);
                    self.deadlines.push(Reverse((until, key)));
                }
            }
        }
    }

    /// Removes the flows that the tracker no longer knows or whose packets may not be sent again.
    pub fn expire(&mut self, terms: impl Fn(FlowKey) -> Option<CopyTerms>) {
        let memory = &mut self.memory;
        self.flows.retain(|key, flow| {
            let is_kept = terms(*key).is_some();
            if !is_kept {
                *memory -= flow.memory();
            }
            is_kept
        });
    }

    /// Returns the memory that the kept packets take, in bytes.
    pub fn memory(&self) -> usize {
        self.memory
    }

    fn forget(&mut self, key: FlowKey) {
        if let Some(flow) = self.flows.remove(&key) {
            self.memory -= flow.memory();
        }
    }
}
