//! Parsers of the wire format, with random and with corrupted input.

mod common;

use carobdrum_wire::{
    control::{
        ControlBody,
        Gossip,
        MemberInfo, //
    },
    ControlMessage,
    DatagramKind,
    PacketHeader,
    TunnelHeader,
    HEADER_LEN,
    MAX_DATAGRAM_LEN,
    OVERHEAD_LEN, //
};
use common::seeded;
use proptest::prelude::*;
use prost::Message;

fn bytes(longest: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(any::<u8>(), 0..=longest)
}

proptest! {
    #![proptest_config(seeded(20_000))]

    /// Guards against a panic on a datagram of an unauthenticated sender, and against a header that
    /// differs after decoding and encoding.
    #[test]
    fn header_is_decoded_or_rejected(mut datagram in bytes(200), kind in 0..9_u8) {
        if let [format, found, ..] = &mut datagram[..] {
            (*format, *found) = (0xc1, kind);
        }
        let decoded = TunnelHeader::decode(&datagram);
        let is_valid = datagram.len() >= OVERHEAD_LEN && (1..=6).contains(&kind);
        prop_assert_eq!(decoded.is_ok(), is_valid);
        if let Ok(header) = decoded {
            let mut encoded = vec![0; OVERHEAD_LEN];
            header.encode(encoded.first_chunk_mut::<HEADER_LEN>().unwrap());
            prop_assert_eq!(TunnelHeader::decode(&encoded), Ok(header));
        }
    }

    /// Guards against a panic on any bytes, and against datagrams of another format that are
    /// accepted.
    #[test]
    fn random_header_is_rejected(datagram in bytes(100)) {
        let is_format = datagram.first() == Some(&0xc1);
        prop_assert!(is_format || TunnelHeader::decode(&datagram).is_err());
    }

    /// Guards against a panic on a caller's packet, and against a connection ID of the wrong bytes.
    #[test]
    fn connection_id_lies_within_the_packet(
        mut packet in bytes(1_300),
        first in any::<u8>(),
        version in 0..3_u8,
        id_len in 0..24_u8,
    ) {
        if packet.len() > 5 {
            packet[..6].copy_from_slice(&[first, 0, 0, 0, version, id_len]);
        }
        let Some(header) = PacketHeader::parse(&packet) else {
            return Ok(());
        };
        let len = header.id().len();
        match header {
            PacketHeader::Short(_) => prop_assert_eq!(header.id(), &packet[1..21]),
            PacketHeader::Long(_) => prop_assert!(len <= 20),
            PacketHeader::Initial(_) => {
                prop_assert!((8..=20).contains(&len));
                prop_assert!(packet.len() >= 1_200);
            }
        }
        prop_assert!(
            matches!(header, PacketHeader::Short(_)) || header.id() == &packet[6..6 + len]
        );
    }

    /// Guards against a panic on a malformed control message of an authenticated peer.
    #[test]
    fn random_control_message_is_decoded_or_rejected(payload in bytes(300)) {
        if let Ok(message) = ControlMessage::decode(&*payload) {
            let encoded = message.encode_to_vec();
            prop_assert_eq!(ControlMessage::decode(&*encoded), Ok(message));
        }
    }

    /// Guards against a panic on a control message with a wrong byte or a missing end.
    #[test]
    fn corrupted_control_message_is_decoded_or_rejected(
        names in prop::collection::vec("[a-z]{0,12}", 0..4),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
        cut in any::<prop::sample::Index>(),
    ) {
        let member = |name| MemberInfo { name, port: 7_500, ..MemberInfo::default() };
        let gossip = Gossip {
            members: names.into_iter().map(member).collect(),
            digest: 1,
            key_version: 1,
        };
        let mut payload = ControlMessage::new(ControlBody::Gossip(gossip)).encode_to_vec();
        let position = position.index(payload.len());
        payload[position] = byte;
        payload.truncate(cut.index(payload.len() + 1));
        if let Ok(message) = ControlMessage::decode(&*payload) {
            let encoded = message.encode_to_vec();
            prop_assert_eq!(ControlMessage::decode(&*encoded), Ok(message));
        }
    }
}

/// Guards against datagrams that are rejected although processes send this length, and the reverse.
#[test]
fn lengths_are_bounded() {
    for (len, is_valid) in [
        (OVERHEAD_LEN - 1, false),
        (OVERHEAD_LEN, true),
        (MAX_DATAGRAM_LEN, true),
        (MAX_DATAGRAM_LEN + 1, false),
    ] {
        let mut datagram = vec![0; len];
        let header = TunnelHeader::new(DatagramKind::Control);
        header.encode(datagram.first_chunk_mut::<HEADER_LEN>().unwrap());
        assert_eq!(TunnelHeader::decode(&datagram).is_ok(), is_valid, "{len}");
    }
}
