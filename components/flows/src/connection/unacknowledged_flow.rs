//! Packets of one flow that its caller hasn't acknowledged.

use bytes::Bytes;
use carobdrum_core::Millis;

use super::{
    acknowledgement_delay::{
        AcknowledgementDelay,
        AcknowledgementKind, //
    },
    unacknowledged_packet::{
        PacketState,
        UnacknowledgedPacket, //
    },
};
use crate::request::{
    FlowPacket,
    PacketKind, //
};

/// Largest number of packets that are kept for a flow.
const MAX_PACKETS: usize = 4;

/// Half of the sequence numbers. A number that is ahead by less is later.
const HALF_RANGE: u32 = 1 << 31;

/// What a packet shows of its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowView {
    /// The flow continues as far as the agent can tell.
    Known,
    /// The flow ends, or the agent can't tell which packets belong to which response.
    Unknown,
}

/// What becomes of a packet of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SentPacket {
    /// A new one with data; `is_kept` tells whether a copy is to be kept.
    New {
        /// Whether the packet is the response to a single packet of the caller, and there is room.
        is_kept: bool,
    },
    /// The server has retransmitted it; the state of the kept packet before, if there was one.
    Repeated(Option<(PacketState, AcknowledgementKind)>),
    /// It carries no data.
    Empty,
    /// The flow isn't known any more.
    Unknown,
}

/// Packets of the server that the caller of a flow hasn't acknowledged, and what the caller asked for.
///
/// The acceptance of the flow and the end of the data may count as a byte each or not: both ends agree on
/// it, and the agent accepts both.
#[derive(Clone, Debug)]
pub(super) struct UnacknowledgedFlow {
    /// Sequence number of the acceptance.
    first: u32,
    /// Sequence number after the last data of the server.
    sent: u32,
    /// Whether the server has sent data.
    has_data: bool,
    /// Sequence number that the caller expects next.
    acknowledged: u32,
    /// Sequence number after the last data of the caller; `None` before the first data.
    caller_sent: Option<u32>,
    /// Number of the caller's packets with data since the last data of the server. More than one may be
    /// several requests.
    request_packets: u32,
    has_response: bool,
    /// Whether the next packet is the second of a pair.
    is_second: bool,
    /// Shortest acknowledgement time of the flow that the caller didn't delay.
    pub(super) round_trip: Option<Millis>,
    /// In the order of their sequence numbers.
    pub(super) packets: Vec<UnacknowledgedPacket>,
    /// Time at which the flow is looked at next; `None` if it is in no queue.
    pub(super) queued: Option<Millis>,
}

impl UnacknowledgedFlow {
    /// Creates the state of a flow that the server has just accepted with this sequence number.
    pub(super) fn new(sequence: u32) -> UnacknowledgedFlow {
        UnacknowledgedFlow {
            first: sequence,
            sent: sequence,
            has_data: false,
            acknowledged: sequence,
            caller_sent: None,
            request_packets: 0,
            has_response: false,
            is_second: false,
            round_trip: None,
            packets: Vec::new(),
            queued: None,
        }
    }

    /// Returns whether an acceptance with this sequence number is that of the flow.
    pub(super) fn is_accepted_by(&self, sequence: u32) -> bool {
        self.first == sequence
    }

    /// Applies the acknowledgement of a caller's packet and moves the packets that it covers to
    /// `acknowledged`.
    pub(super) fn acknowledge(
        &mut self,
        number: u32,
        acknowledged: &mut Vec<UnacknowledgedPacket>,
    ) -> FlowView {
        let advance = number.wrapping_sub(self.acknowledged);
        if advance >= HALF_RANGE {
            // An older packet that was overtaken.
            return FlowView::Known;
        }
        let end = self.sent.wrapping_add(1);
        if advance > end.wrapping_sub(self.acknowledged) {
            return FlowView::Unknown;
        }
        self.acknowledged = number;
        // A caller that sends anything else than opening packets has got the acceptance.
        let is_covered = |packet: &&UnacknowledgedPacket| {
            packet.kind == AcknowledgementKind::Acceptance || is_at_or_after(number, packet.end)
        };
        let covered = self.packets.iter().take_while(is_covered).count();
        acknowledged.extend(self.packets.drain(..covered));
        if self.packets.is_empty() {
            self.clear();
        }
        if is_at_or_after(number, self.sent) {
            self.is_second = false;
        } else if acknowledged.last().is_some_and(|last| {
            last.end == number && last.kind == AcknowledgementKind::First && advance > 0
        }) {
            self.shift_pairs();
        }
        FlowView::Known
    }

    /// Begins the pairs one packet later, because the caller has acknowledged the first of a pair.
    fn shift_pairs(&mut self) {
        self.is_second = !self.is_second;
        let mut next_sent = None;
        for packet in self.packets.iter_mut().rev() {
            let is_first = packet.kind == AcknowledgementKind::First;
            packet.kind = if is_first {
                AcknowledgementKind::Second
            } else {
                AcknowledgementKind::First
            };
            packet.second_sent = next_sent.filter(|_| !is_first);
            next_sent = Some(packet.sent);
        }
    }

    /// Records data of the caller, after its acknowledgement has been applied. A request that is newer
    /// than the response in progress ends all copies.
    pub(super) fn note_request(&mut self, packet: &FlowPacket) -> FlowView {
        let end = packet.sequence.wrapping_add(u32::from(packet.data_len));
        let sent_before = *self.caller_sent.get_or_insert(packet.sequence);
        if is_at_or_after(sent_before, end) {
            if sent_before != end && !self.has_response {
                // An earlier part of the request arrives late.
                self.request_packets = self.request_packets.saturating_add(1);
            }
            return FlowView::Known;
        }
        self.caller_sent = Some(end);
        if self.has_response {
            self.has_response = false;
            self.request_packets = 0;
            if !is_at_or_after(self.acknowledged, self.sent) {
                return FlowView::Unknown;
            }
        }
        let packets = if packet.sequence == sent_before { 1 } else { 2 };
        self.request_packets = self.request_packets.saturating_add(packets);
        FlowView::Known
    }

    /// Records a packet of the server, other than an acceptance or a reset.
    pub(super) fn note_sent(&mut self, packet: &FlowPacket, now: Millis) -> SentPacket {
        if packet.data_len == 0 {
            return SentPacket::Empty;
        }
        if !self.has_data && !self.begin_data(packet.sequence) {
            return SentPacket::Unknown;
        }
        let end = packet.sequence.wrapping_add(u32::from(packet.data_len));
        if is_at_or_after(self.sent, end) {
            return SentPacket::Repeated(self.note_repeated(packet.sequence));
        }
        if packet.sequence != self.sent {
            return SentPacket::Unknown;
        }
        self.sent = end;
        self.has_response = true;
        if let Some(last) = self.packets.last_mut() {
            if last.end == packet.sequence && last.kind == AcknowledgementKind::First {
                last.second_sent = Some(now);
            }
        }
        let is_kept = self.request_packets == 1 && self.packets.len() < MAX_PACKETS;
        if !is_kept {
            self.is_second = !self.is_second;
        }
        SentPacket::New { is_kept }
    }

    /// Records the sequence number of the first data; returns false if it doesn't follow the acceptance, or
    /// the caller hasn't got that yet.
    fn begin_data(&mut self, sequence: u32) -> bool {
        if sequence.wrapping_sub(self.first) > 1 || self.caller_sent.is_none() {
            return false;
        }
        self.has_data = true;
        self.sent = sequence;
        self.acknowledged = sequence;
        true
    }

    /// Keeps the packet that [`UnacknowledgedFlow::note_sent`] has just recorded.
    pub(super) fn keep(&mut self, packet: &FlowPacket, bytes: Bytes, now: Millis) {
        let kind = if packet.kind == PacketKind::Accept {
            AcknowledgementKind::Acceptance
        } else {
            let is_second = self.is_second;
            self.is_second = !is_second;
            if is_second {
                AcknowledgementKind::Second
            } else {
                AcknowledgementKind::First
            }
        };
        self.packets.reserve_exact(MAX_PACKETS - self.packets.len());
        self.packets.push(UnacknowledgedPacket {
            bytes,
            sequence: packet.sequence,
            end: self.sent,
            kind,
            sent: now,
            second_sent: None,
            state: PacketState::Waiting,
        });
    }

    /// Skips the packet that [`UnacknowledgedFlow::note_sent`] has just recorded.
    pub(super) fn skip(&mut self) {
        self.is_second = !self.is_second;
    }

    /// Records that the server has retransmitted a packet; returns its state before.
    pub(super) fn note_repeated(
        &mut self,
        sequence: u32,
    ) -> Option<(PacketState, AcknowledgementKind)> {
        let mut packets = self.packets.iter_mut();
        let kept = packets.find(|kept| kept.sequence == sequence)?;
        let before = std::mem::replace(&mut kept.state, PacketState::Repeated);
        Some((before, kept.kind))
    }

    /// Returns the packet that the caller expects next if it is kept and waits for an acknowledgement.
    /// Later ones may have arrived, as an acknowledgement covers all packets up to its number.
    pub(super) fn missing(&mut self) -> Option<&mut UnacknowledgedPacket> {
        let expected = self.acknowledged;
        let first = self.packets.first_mut()?;
        (first.sequence == expected && first.state == PacketState::Waiting).then_some(first)
    }

    /// Returns when the missing packet is late; `None` without one, or if no delay is known.
    pub(super) fn deadline(
        &mut self,
        delays: &mut AcknowledgementDelay,
        min_delay: Millis,
        now: Millis,
    ) -> Option<Millis> {
        let missing = self.missing()?;
        let mut after = |kind, sent: Millis| {
            let delay = delays.delay(kind, min_delay, now);
            delay.map(|delay| sent.plus(delay)).ok()
        };
        let alone = after(missing.kind, missing.sent);
        let in_pair = missing
            .second_sent
            .and_then(|sent| after(AcknowledgementKind::Second, sent));
        alone.into_iter().chain(in_pair).min()
    }

    /// Returns the memory that the kept packets take, in bytes.
    pub(super) fn memory(&self) -> usize {
        let data: usize = self.packets.iter().map(|packet| packet.bytes.len()).sum();
        data + self.packets.capacity() * size_of::<UnacknowledgedPacket>()
    }

    /// Returns the memory that another packet of this length needs, in bytes.
    pub(super) fn memory_for(&self, len: usize) -> usize {
        let is_allocated = self.packets.capacity() > 0;
        let slots = if is_allocated { 0 } else { MAX_PACKETS };
        len + slots * size_of::<UnacknowledgedPacket>()
    }

    /// Removes the kept packets.
    pub(super) fn clear(&mut self) {
        self.packets = Vec::new();
    }
}

/// Returns whether a sequence number is at or after another one.
fn is_at_or_after(number: u32, other: u32) -> bool {
    number.wrapping_sub(other) < HALF_RANGE
}
