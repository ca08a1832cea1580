//! What acknowledgements and retransmissions show of kept packets.

use carobdrum_core::{
    request::HedgeEnd,
    Millis, //
};

use super::PacketResender;
use crate::{
    connection::{
        acknowledgement_delay::{
            AcknowledgementKind,
            UnknownDelay, //
        },
        unacknowledged_packet::{
            PacketState,
            UnacknowledgedPacket, //
        },
        ResendAction,
        ResendHold, //
    },
    request::FlowKey,
};

impl PacketResender {
    /// Counts a kept packet that the server has retransmitted.
    pub(super) fn note_repeated(
        &mut self,
        state: PacketState,
        kind: AcknowledgementKind,
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        match state {
            PacketState::Copied(_) => self.note_copy_end(false, now, actions),
            PacketState::Waiting => {
                let hold = match self.delays.delay(kind, self.limits.min_delay, now) {
                    Err(UnknownDelay::FewSamples) => ResendHold::FewSamples,
                    Err(UnknownDelay::Slow) => ResendHold::Slow,
                    // A packet before it is missing.
                    Ok(_) => return,
                };
                actions.push(ResendAction::Hold(hold));
            }
            PacketState::Held | PacketState::Repeated => {}
        }
    }

    /// Learns from the packets that an acknowledgement of the flow covers.
    pub(super) fn settle(
        &mut self,
        key: FlowKey,
        acknowledged: &[UnacknowledgedPacket],
        now: Millis,
        actions: &mut Vec<ResendAction>,
    ) {
        let Some(last) = acknowledged.last() else {
            return;
        };
        let round_trip = self.flows.get(&key).and_then(|flow| flow.round_trip);
        for packet in acknowledged {
            if let PacketState::Copied(copied) = packet.state {
                let round_trip = round_trip.unwrap_or(self.limits.min_delay);
                let is_useful = now.since(copied) >= round_trip.max(Millis(1));
                self.note_copy_end(is_useful, now, actions);
            }
        }
        if acknowledged
            .iter()
            .any(|packet| packet.state != PacketState::Waiting)
        {
            // The time is that of a lost packet, or of one behind it.
            return;
        }
        for _ in acknowledged {
            self.late_share.record(false, now);
        }
        let time = now.since(last.sent);
        self.delays.record(last.kind, time, now);
        if last.kind == AcknowledgementKind::First {
            return;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            let shortest = flow.round_trip.map_or(time, |known| known.min(time));
            flow.round_trip = Some(shortest);
        }
    }

    fn note_copy_end(&mut self, is_useful: bool, now: Millis, actions: &mut Vec<ResendAction>) {
        let end = if is_useful {
            HedgeEnd::Won
        } else {
            HedgeEnd::Lost
        };
        self.budget.record_end(now, end);
        actions.push(ResendAction::Ended { is_useful });
    }
}
