//! Copy of a packet that its caller hasn't acknowledged.

use bytes::Bytes;
use carobdrum_core::Millis;

use super::acknowledgement_delay::AcknowledgementKind;

/// What became of a packet since the server sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PacketState {
    /// The acknowledgement isn't late.
    Waiting,
    /// A copy was sent at this time.
    Copied(Millis),
    /// It was late, and no copy may be sent.
    Held,
    /// The server has retransmitted it.
    Repeated,
}

/// A packet of the server that its caller hasn't acknowledged.
#[derive(Clone, Debug)]
pub(super) struct UnacknowledgedPacket {
    pub(super) bytes: Bytes,
    pub(super) sequence: u32,
    /// Sequence number after the packet.
    pub(super) end: u32,
    pub(super) kind: AcknowledgementKind,
    pub(super) sent: Millis,
    /// Time at which the second packet of the pair was sent, for the first one.
    pub(super) second_sent: Option<Millis>,
    pub(super) state: PacketState,
}
