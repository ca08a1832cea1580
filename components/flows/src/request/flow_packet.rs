//! Fields of a packet on which the decisions depend.

use carobdrum_core::Millis;

use super::FlowKey;

/// Time for which the first copy of an opening packet is the only one: callers send the next one after
/// 200 ms.
pub(crate) const FIRST_COPY_LIFETIME: Millis = Millis(150);

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// The opening packet of the flow, or a retransmission of it.
    Open {
        /// Number of the retransmission; zero for the first copy.
        retransmission: u8,
    },
    /// Acceptance of the flow, sent by backend servers only.
    Accept,
    /// Data, an acknowledgement, or both.
    Data,
    /// End of the sender's data.
    Finish,
    /// Abort of the flow by the sender.
    Reset,
}

/// One packet of a flow, in either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// The flow that the packet belongs to.
    pub key: FlowKey,
    /// The role of the packet.
    pub kind: PacketKind,
    /// Whether a backend server returned the packet because it doesn't hold the flow.
    pub returned: bool,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next sequence number that the sender expects from its peer.
    pub acknowledged: u32,
    /// Length of the data, in bytes.
    pub data_len: u16,
}

impl FlowPacket {
    /// Returns whether the packet is an opening packet or a retransmission of it.
    pub fn is_open(&self) -> bool {
        matches!(self.kind, PacketKind::Open { .. })
    }

    /// Returns whether the packet, at this age, is an opening packet of which a server may have got
    /// another copy.
    pub fn may_have_other_copies(&self, age: Millis) -> bool {
        match self.kind {
            PacketKind::Open { retransmission } => retransmission > 0 || age >= FIRST_COPY_LIFETIME,
            _ => false,
        }
    }
}
