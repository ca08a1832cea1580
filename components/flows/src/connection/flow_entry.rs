//! State of one flow at an agent.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use super::{
    LoadEstimate,
    SequenceWindow, //
};
use crate::request::{
    FlowPacket,
    ForwardHeader,
    PacketKind, //
};

/// Age from which a flow counts as long. Flows of one request are shorter.
const LONG_FLOW_AGE: Millis = Millis(1_000);

/// Limit of the informed agents that are remembered. More than the anchors of one packet, since
/// balancers that know different agents name different ones.
const MAX_INFORMED: usize = 4;

/// Largest distance by which data of the caller may be older than its latest data.
const MAX_REPEATED: u32 = 1 << 30;

/// Stage of a flow as an agent knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowStage {
    /// The opening packet was delivered to the server, and no later packet of the caller has
    /// confirmed the flow.
    Opening,
    /// The server holds the flow.
    Open,
    /// A later packet of an unknown flow was delivered; the server returns it if it doesn't hold
    /// the flow.
    Unverified,
    /// The server returned a packet because it doesn't hold the flow.
    NotHeld,
    /// The opening packet was redirected to the agent at this address.
    Redirected(SocketAddrV4),
    /// One end has reset the flow, or both ends have finished.
    Closed,
}

/// State of one flow at an agent.
#[derive(Clone, Debug)]
pub struct FlowEntry {
    /// How far the flow has come, and who holds it.
    pub stage: FlowStage,
    /// Start of the request in progress, which counts as load; `None` if there is none.
    pub request_started: Option<Millis>,
    /// Time of the last packet in either direction.
    pub last_used: Millis,
    /// Header of the caller's last packet, needed to redirect a packet that the server returns.
    pub header: ForwardHeader,
    /// Whether the caller has sent its last data.
    pub caller_done: bool,
    /// Whether the server has sent its last data.
    pub server_done: bool,
    /// The opening packet, kept for a redirect until the server has answered it.
    pub opening_packet: Option<Bytes>,
    /// Sequence numbers of the server; `None` if the agent hasn't seen it accept the flow.
    pub server_window: Option<SequenceWindow>,
    /// Sequence number that the caller expects next; that of a reset.
    pub caller_expects: u32,
    /// Sequence number after the caller's data that the server has got; `None` before the first data.
    pub caller_sent: Option<u32>,
    /// Time from which the server has sent more than the acceptance of the flow, so that it certainly
    /// held it; `None` before.
    pub served_since: Option<Millis>,
    /// Time of the first packet.
    pub first_used: Millis,
    /// Whether balancers find the owner by its rank.
    pub is_firm: bool,
    /// Agents that know the owner from its announcements, the last ones last.
    pub informed: Vec<SocketAddrV4>,
}

impl FlowEntry {
    /// Creates the entry of a flow whose first packet at this agent arrived at `now`.
    pub fn new(stage: FlowStage, header: ForwardHeader, now: Millis) -> FlowEntry {
        FlowEntry {
            server_window: None,
            caller_expects: 0,
            caller_sent: None,
            served_since: None,
            first_used: now,
            is_firm: header.is_firm,
            informed: Vec::new(),
            stage,
            request_started: None,
            last_used: now,
            header,
            caller_done: false,
            server_done: false,
            opening_packet: None,
        }
    }

    /// Returns whether the server holds the flow and has held it for longer than most flows last.
    pub fn is_long(&self, now: Millis) -> bool {
        self.stage == FlowStage::Open && now.since(self.first_used) >= LONG_FLOW_AGE
    }

    /// Returns the anchors of the last packet that are to be informed of the owner at `now`: those
    /// that aren't informed yet, and none while the flow is so short that most others end before.
    pub fn take_uninformed(&mut self, owner: SocketAddrV4, now: Millis) -> Vec<SocketAddrV4> {
        if self.is_firm && now.since(self.first_used) < LONG_FLOW_AGE {
            return Vec::new();
        }
        let is_new = |anchor: &&SocketAddrV4| **anchor != owner && !self.informed.contains(anchor);
        let uninformed: Vec<SocketAddrV4> =
            self.header.anchors.iter().filter(is_new).copied().collect();
        self.informed.extend(&uninformed);
        let excess = self.informed.len().saturating_sub(MAX_INFORMED);
        self.informed.drain(..excess);
        uninformed
    }

    /// Removes the load of the request in progress, if there is one.
    pub fn abandon_request(&mut self, load: &mut LoadEstimate) {
        if self.request_started.take().is_some() {
            load.end();
        }
    }

    /// Records that a later packet of the caller goes to the server: a request may begin, or the flow
    /// end. A copy of data that the server has got begins none: its response may have begun already.
    pub fn note_delivered(&mut self, packet: &FlowPacket, load: &mut LoadEstimate, now: Millis) {
        let has_new_data = packet.data_len > 0 && !self.is_repeated(packet);
        if has_new_data {
            self.caller_sent = Some(data_end(packet));
        }
        let has_request = has_new_data && self.stage == FlowStage::Open;
        if has_request && self.request_started.replace(now).is_none() {
            load.begin();
        }
        let is_closing = match packet.kind {
            PacketKind::Reset => {
                self.stage = FlowStage::Closed;
                true
            }
            PacketKind::Finish => {
                self.caller_done = true;
                self.close_if_done()
            }
            _ => false,
        };
        if is_closing {
            self.abandon_request(load);
        }
    }

    /// Returns whether the server has got all data of a packet before.
    pub fn is_repeated(&self, packet: &FlowPacket) -> bool {
        let ahead = |sent: u32| sent.wrapping_sub(data_end(packet));
        self.caller_sent
            .is_some_and(|sent| ahead(sent) <= MAX_REPEATED)
    }

    /// Records that the server has accepted the flow with this sequence number. Another number than
    /// before shows that a new flow has the same endpoints.
    pub fn note_accepted(&mut self, sequence: u32) {
        let window = self.server_window.as_ref();
        if window.is_some_and(|window| window.first() == sequence) {
            return;
        }
        self.server_window = Some(SequenceWindow::new(sequence));
        if matches!(self.stage, FlowStage::NotHeld | FlowStage::Redirected(_)) {
            return;
        }
        self.stage = FlowStage::Opening;
        self.caller_sent = None;
        self.served_since = None;
        self.caller_done = false;
        self.server_done = false;
    }

    /// Returns whether a caller's packet that acknowledges this number belongs to the flow that the
    /// server accepted, as far as the agent can tell.
    pub fn is_continued_by(&self, acknowledged: u32) -> bool {
        let window = self.server_window.as_ref();
        window.is_none_or(|window| window.is_acknowledged_by(acknowledged))
    }

    /// Returns whether the server held the flow until now and would have answered its packets. No
    /// other server can hold it then.
    pub fn is_certainly_open(&self) -> bool {
        self.stage == FlowStage::Open && self.served_since.is_some()
    }

    /// Returns whether the server may hold the flow after the entry has been removed.
    pub fn may_be_held(&self) -> bool {
        match self.stage {
            FlowStage::Open | FlowStage::Closed => true,
            FlowStage::Opening => self.server_window.is_some(),
            FlowStage::Unverified | FlowStage::NotHeld | FlowStage::Redirected(_) => false,
        }
    }

    /// Closes the flow if both ends have finished; returns whether it did.
    pub fn close_if_done(&mut self) -> bool {
        let done = self.caller_done && self.server_done;
        if done {
            self.stage = FlowStage::Closed;
        }
        done
    }
}

/// Returns the sequence number after the data of a packet.
fn data_end(packet: &FlowPacket) -> u32 {
    packet.sequence.wrapping_add(u32::from(packet.data_len))
}
