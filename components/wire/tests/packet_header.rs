//! Parsing of QUIC packet headers.

use carobdrum_core::connection::FLOW_ID_LEN;
use carobdrum_wire::PacketHeader;
use rstest::rstest;

const ID: [u8; FLOW_ID_LEN] = [7; FLOW_ID_LEN];

/// Generates one test per case, with the first byte of a short-header packet.
macro_rules! short_header_cases {
    ($($name:ident: $first:expr,)*) => {
        $(
            #[rstest]
            fn $name() {
                let mut packet = vec![$first];
                packet.extend_from_slice(&ID);
                packet.extend_from_slice(&[0; 30]);
                assert_eq!(PacketHeader::parse(&packet), Some(PacketHeader::Short(&ID)));
            }
        )*
    };
}

// Guards against dropping half of the packets of callers that clear the fixed bit at random
// (RFC 9287). While balancers took such packets for malformed, a download of 30 MB took 13 s.
short_header_cases! {
    fixed_bit_is_set: 0x40,
    fixed_bit_is_cleared: 0x00,
    all_other_bits_are_set: 0x3f,
}

/// Generates one test per case, with a packet that no agent could accept.
macro_rules! rejected_cases {
    ($($name:ident: $packet:expr,)*) => {
        $(
            #[rstest]
            fn $name() {
                let packet: &[u8] = &$packet;
                assert_eq!(PacketHeader::parse(packet), None);
            }
        )*
    };
}

// Guards against reading beyond the end of a truncated packet, and against amplification attacks:
// an Initial packet must come in a datagram of at least 1,200 bytes.
rejected_cases! {
    empty_packet: [],
    short_header_without_whole_id: [0x40; FLOW_ID_LEN],
    long_header_without_id_length: [0xc0, 0, 0, 0, 1],
    long_header_with_truncated_id: [0xc0, 0, 0, 0, 1, 8, 1, 2, 3],
    long_header_with_oversized_id: [0xc0, 0, 0, 0, 1, 21, 1, 2, 3],
    initial_below_minimum_size: initial(8, 1199),
    initial_with_short_id: initial(7, 1200),
}

#[rstest]
fn initial_of_minimum_size_is_parsed() {
    let packet = initial(8, 1200);
    let id = [0; 8];
    assert_eq!(
        PacketHeader::parse(&packet),
        Some(PacketHeader::Initial(&id))
    );
}

fn initial(id_len: u8, len: usize) -> Vec<u8> {
    let mut packet = vec![0; len];
    packet[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, id_len]);
    packet
}
