//! What the decisions read of a packet.

use super::FlowKey;

/// What a packet does to its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketKind {
    /// Asks to open the flow.
    Open {
        /// Number of this copy; zero for the first.
        retransmission: u8,
    },
    /// Accepts the flow; only backend servers send it.
    Accept,
    /// Carries data, an acknowledgement, or both.
    Data,
    /// The sender has no more data.
    Finish,
    /// The sender gives the flow up.
    Reset,
}

/// One packet of a flow, in either direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowPacket {
    /// The flow.
    pub key: FlowKey,
    /// What the packet does.
    pub kind: PacketKind,
    /// Whether a backend server returned it because it doesn't hold the flow.
    pub returned: bool,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next sequence number that the sender expects from the other end.
    pub acknowledged: u32,
    /// Length of the data, in bytes.
    pub data_len: u16,
}

impl FlowPacket {
    /// Returns whether the packet asks to open the flow.
    pub fn is_open(&self) -> bool {
        matches!(self.kind, PacketKind::Open { .. })
    }
}
