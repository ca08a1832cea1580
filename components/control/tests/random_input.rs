//! Decoding of messages between members with random fields.

mod common;

use carobdrum_control::{
    decode_peer,
    decode_records,
    encode_peer, //
};
use carobdrum_wire::{
    control::{
        ControlBody,
        Gossip,
        Heartbeat,
        HeartbeatAck,
        MemberInfo,
        Probe,
        ProbeRequest, //
    },
    ControlMessage,
};
use common::seeded;
use proptest::prelude::*;
use prost::Message;

/// Returns records whose numbers are often just outside the valid range.
fn member() -> impl Strategy<Value = MemberInfo> {
    let ports = prop_oneof![0..3_u32, 65_534..65_538_u32, any::<u32>()];
    let warmup_level = prop_oneof![0..300_u32, any::<u32>()];
    (
        ".{0,40}",
        any::<u32>(),
        ports,
        0..4_u32,
        0..7_u32,
        warmup_level,
    )
        .prop_map(|(name, ip, port, role, state, warmup_level)| MemberInfo {
            data_centre: name.clone(),
            name,
            ip,
            port,
            role,
            state,
            warmup_level,
            ..MemberInfo::default()
        })
}

fn body() -> impl Strategy<Value = ControlBody> {
    let members = prop::collection::vec(member(), 0..3);
    (0..6_u8, members, any::<u32>(), any::<u32>()).prop_map(|(kind, members, number, port)| {
        let member = members.first().cloned();
        let gossip = Gossip {
            members: members.clone(),
            digest: u64::from(number),
            key_version: port,
        };
        let probe = Probe {
            number,
            gossip: (port % 2 == 0).then(|| gossip.clone()),
            member: member.clone(),
            balancers: members.clone(),
        };
        match kind {
            0 => ControlBody::Heartbeat(Heartbeat {
                member,
                sequence: number,
                ..Heartbeat::default()
            }),
            1 => ControlBody::HeartbeatAck(HeartbeatAck {
                balancers: members,
                disputed_record: member,
                ..HeartbeatAck::default()
            }),
            2 => ControlBody::Gossip(gossip),
            3 => ControlBody::Probe(probe),
            4 => ControlBody::ProbeAck(probe),
            _ => ControlBody::ProbeRequest(ProbeRequest {
                number,
                ip: number,
                port,
            }),
        }
    })
}

fn is_valid(member: &MemberInfo) -> bool {
    (1..=65_535).contains(&member.port)
        && (1..=2).contains(&member.role)
        && (1..=5).contains(&member.state)
        && member.warmup_level <= 255
}

proptest! {
    #![proptest_config(seeded(10_000))]

    /// Guards against invalid records that enter the member list, and valid ones that are skipped.
    #[test]
    fn only_valid_records_are_decoded(members in prop::collection::vec(member(), 0..6)) {
        let expected: Vec<_> = members
            .iter()
            .filter(|member| is_valid(member))
            .map(|member| (member.ip, member.port, member.warmup_level))
            .collect();
        let records = decode_records(members).into_iter();
        let found: Vec<_> = records
            .map(|record| {
                let address = record.address;
                let warmup_level = u32::from(record.warmup_level);
                (u32::from(*address.ip()), u32::from(address.port()), warmup_level)
            })
            .collect();
        prop_assert_eq!(found, expected);
    }

    /// Guards against a panic on a malformed message, and against a message that changes when it is
    /// encoded again.
    #[test]
    fn random_message_is_decoded_or_refused(body in body()) {
        let Some(message) = decode_peer(body) else {
            return Ok(());
        };
        let again = decode_peer(encode_peer(message.clone()));
        prop_assert_eq!(again, Some(message));
    }

    /// Guards against a panic in the decoding of a damaged datagram.
    #[test]
    fn damaged_message_is_decoded_or_refused(
        body in body(),
        position in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut payload = ControlMessage::new(body).encode_to_vec();
        let position = position.index(payload.len());
        payload[position] = byte;
        let decoded = ControlMessage::decode(&*payload).ok();
        let message = decoded.and_then(|message| message.body).and_then(decode_peer);
        if let Some(message) = message {
            let again = decode_peer(encode_peer(message.clone()));
            prop_assert_eq!(again, Some(message));
        }
    }
}
