//! The fields of a QUIC packet header that routing needs.

use carobdrum_core::connection::FLOW_ID_LEN;

const LONG_HEADER: u8 = 0x80;
const TYPE_MASK: u8 = 0x30;

/// Longest connection ID of QUIC version 1, in bytes.
const MAX_ID_LEN: usize = 20;
/// Shortest destination connection ID that a caller may choose for its first packet, in bytes.
const MIN_FIRST_ID_LEN: usize = 8;
/// Length of the shortest datagram that may carry a caller's Initial packet, in bytes.
const MIN_INITIAL_LEN: usize = 1200;

/// Header of a QUIC packet, as far as RFC 8999 and RFC 9000 specify it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PacketHeader<'a> {
    /// A packet that may open a flow, with the destination connection ID.
    Initial(&'a [u8]),
    /// Another long-header packet, with the destination connection ID.
    Long(&'a [u8]),
    /// A short-header packet, with a destination connection ID of the length that agents issue.
    Short(&'a [u8]),
}

impl<'a> PacketHeader<'a> {
    /// Parses the header, or returns `None` if this is no QUIC packet that an agent could accept.
    pub fn parse(packet: &'a [u8]) -> Option<PacketHeader<'a>> {
        let first = *packet.first()?;
        if first & LONG_HEADER == 0 {
            // Callers may clear the fixed bit (RFC 9287), so it isn't checked.
            return packet.get(1..=FLOW_ID_LEN).map(PacketHeader::Short);
        }
        let id_len = usize::from(*packet.get(5)?);
        if id_len > MAX_ID_LEN {
            return None;
        }
        let id = packet.get(6..6 + id_len)?;
        if is_initial(packet) {
            let is_valid = id_len >= MIN_FIRST_ID_LEN && packet.len() >= MIN_INITIAL_LEN;
            return is_valid.then_some(PacketHeader::Initial(id));
        }
        Some(PacketHeader::Long(id))
    }

    /// Returns the destination connection ID.
    pub fn id(&self) -> &'a [u8] {
        match self {
            PacketHeader::Initial(id) | PacketHeader::Long(id) | PacketHeader::Short(id) => id,
        }
    }
}

/// Returns whether a long-header packet opens a flow.
///
/// So does a packet of an unknown version, because the agent responds to it with version
/// negotiation.
fn is_initial(packet: &[u8]) -> bool {
    let version = u32::from_be_bytes([packet[1], packet[2], packet[3], packet[4]]);
    match version {
        0 => false,
        1 => packet[0] & TYPE_MASK == 0,
        _ => true,
    }
}
