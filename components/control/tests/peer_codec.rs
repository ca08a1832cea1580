//! Conversion of messages between members.

use std::net::SocketAddrV4;

use carobdrum_control::{
    decode_peer,
    encode_peer, //
};
use carobdrum_core::process::{
    GossipBody,
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    MemberRole,
    MemberState,
    PeerMessage,
    ProbeBody, //
};
use carobdrum_wire::ControlMessage;
use prost::Message;
use rand::{
    rngs::SmallRng,
    seq::IndexedRandom,
    Rng,
    SeedableRng, //
};

/// Number of random messages.
const MESSAGES: u64 = 5_000;

fn address(random: &mut SmallRng) -> SocketAddrV4 {
    let ip: u32 = random.random();
    SocketAddrV4::new(ip.into(), random.random_range(1..=u16::MAX))
}

/// Returns a number of random magnitude, because its encoded length depends on the magnitude.
fn number(random: &mut SmallRng) -> u64 {
    random.random::<u64>() >> random.random_range(0..64)
}

fn text(random: &mut SmallRng) -> String {
    let len = random.random_range(0..30);
    (0..len).map(|_| random.random_range('a'..='z')).collect()
}

fn record(random: &mut SmallRng) -> MemberRecord {
    let roles = [MemberRole::Balancer, MemberRole::Agent];
    let states = [
        MemberState::Cold,
        MemberState::Warm,
        MemberState::Draining,
        MemberState::Suspect,
        MemberState::Dead,
    ];
    let role = *roles.choose(random).unwrap();
    MemberRecord::builder(role, address(random), number(random))
        .name(text(random))
        .location(text(random), text(random))
        .sequence(number(random) as u32)
        .state(*states.choose(random).unwrap())
        .slots(number(random) as u32, random.random())
        .build()
}

fn optional_record(random: &mut SmallRng) -> Option<MemberRecord> {
    random.random::<bool>().then(|| record(random))
}

fn gossip(random: &mut SmallRng) -> GossipBody {
    let count = random.random_range(0..4);
    GossipBody {
        members: (0..count).map(|_| record(random)).collect(),
        digest: random.random(),
        key_version: number(random) as u32,
    }
}

fn probe(random: &mut SmallRng) -> ProbeBody {
    ProbeBody {
        number: number(random) as u32,
        gossip: gossip(random),
        member: optional_record(random),
        balancers: (0..random.random_range(0..3))
            .map(|_| address(random))
            .collect(),
    }
}

fn message(random: &mut SmallRng) -> PeerMessage {
    match random.random_range(0..6) {
        0 => PeerMessage::Heartbeat(Heartbeat {
            member: optional_record(random),
            incarnation: number(random),
            sequence: number(random) as u32,
            balancers_digest: random.random(),
            key_version: number(random) as u32,
        }),
        1 => PeerMessage::HeartbeatAck(HeartbeatAck {
            key_version: number(random) as u32,
            sequence: number(random) as u32,
            balancers: (0..2).map(|_| address(random)).collect(),
            disputed_record: optional_record(random),
        }),
        2 => PeerMessage::Gossip(gossip(random)),
        3 => PeerMessage::Probe(probe(random)),
        4 => PeerMessage::ProbeAck(probe(random)),
        _ => PeerMessage::ProbeRequest {
            number: number(random) as u32,
            target: address(random),
        },
    }
}

/// Guards against messages that change between members, and against encoded messages that are
/// longer than the byte budget assumes.
#[test]
fn decoding_returns_the_encoded_message() {
    for seed in 0..MESSAGES {
        let mut random = SmallRng::seed_from_u64(seed);
        let sent = message(&mut random);
        let bytes = ControlMessage::new(encode_peer(sent.clone())).encode_to_vec();
        assert!(
            bytes.len() <= sent.wire_len(),
            "seed {seed}: {}",
            bytes.len()
        );
        let body = ControlMessage::decode(&*bytes).unwrap().body.unwrap();
        assert_eq!(decode_peer(body), Some(sent), "seed {seed}");
    }
}
