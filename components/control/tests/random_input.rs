//! Messages between members, fed with random fields.

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

/// Returns records whose numbers are often just outside of what is allowed.
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

fn is_sound(member: &MemberInfo) -> bool {
    (1..=65_535).contains(&member.port)
        && (1..=2).contains(&member.role)
        && (1..=5).contains(&member.state)
        && member.warmup_level <= 255
}

proptest! {
    #![proptest_config(seeded(10_000))]

    /// Guards against records outside of their range that enter the member list, and sound ones that
    /// are left out.
    #[test]
    fn only_sound_records_are_read(members in prop::collection::vec(member(), 0..6)) {
        let expected: Vec<_> = members
            .iter()
            .filter(|member| is_sound(member))
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

    /// Guards against a panic on a faulty peer's message, and a message that changes when it is
    /// passed on.
    #[test]
    fn odd_message_is_read_or_refused(body in body()) {
        let Some(message) = decode_peer(body) else {
            return Ok(());
        };
        let again = decode_peer(encode_peer(message.clone()));
        prop_assert_eq!(again, Some(message));
    }

    /// Guards against a panic between the datagram and the member list.
    #[test]
    fn damaged_message_is_read_or_refused(
        body in body(),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut payload = ControlMessage::new(body).encode_to_vec();
        let place = place.index(payload.len());
        payload[place] = byte;
        let decoded = ControlMessage::decode(&*payload).ok();
        let message = decoded.and_then(|message| message.body).and_then(decode_peer);
        if let Some(message) = message {
            let again = decode_peer(encode_peer(message.clone()));
            prop_assert_eq!(again, Some(message));
        }
    }
}
