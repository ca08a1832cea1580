//! Lengths that `carobdrum-core` computes for control messages.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::process::{
    GossipBody,
    MemberRecord,
    MemberRole,
    MemberState,
    PeerMessage,
    ProbeBody, //
};
use carobdrum_wire::control::{
    ControlBody,
    ControlMessage,
    Gossip,
    MemberInfo,
    Probe, //
};
use proptest::prelude::*;
use prost::Message;

fn info(record: &MemberRecord) -> MemberInfo {
    MemberInfo {
        name: record.name.to_string(),
        ip: (*record.address.ip()).into(),
        port: record.address.port().into(),
        role: record.role as u32 + 1,
        data_centre: record.data_centre.to_string(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: record.state as u32 + 1,
        slots: record.slots,
        warmup_level: record.warmup_level.into(),
        region: record.region.to_string(),
    }
}

fn address_info(address: &SocketAddrV4) -> MemberInfo {
    MemberInfo {
        ip: (*address.ip()).into(),
        port: address.port().into(),
        ..MemberInfo::default()
    }
}

fn gossip(body: &GossipBody) -> Gossip {
    Gossip {
        members: body.members.iter().map(info).collect(),
        digest: body.digest,
        key_version: body.key_version,
    }
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    let names = ("[a-z0-9-]{0,40}", "[a-z-]{0,20}", "[a-z-]{0,20}");
    let numbers = (
        any::<u32>(),
        0u64..1 << 41,
        any::<u32>(),
        0u32..10_000,
        any::<u8>(),
    );
    (names, numbers).prop_map(|((name, centre, region), numbers)| {
        let address = SocketAddrV4::new(Ipv4Addr::from(numbers.0 | 1), 40_000);
        MemberRecord::builder(MemberRole::Agent, address, numbers.1)
            .name(name)
            .location(centre, region)
            .sequence(numbers.2)
            .slots(numbers.3, numbers.4)
            .state(MemberState::Cold)
            .build()
    })
}

proptest! {
    /// Guards against a byte budget and a message limit that count fewer bytes than are sent.
    #[test]
    fn computed_length_is_not_below_the_encoded_one(
        members in proptest::collection::vec(any_record(), 0..12),
        number in any::<u32>(),
        digest in any::<u64>(),
        ports in proptest::collection::vec(1_u16.., 0..4),
    ) {
        let member = members.first().cloned();
        let address = |port| SocketAddrV4::new(Ipv4Addr::new(127, 1, 2, 3), port);
        let balancers: Vec<SocketAddrV4> = ports.into_iter().map(address).collect();
        let body = ProbeBody {
            number,
            gossip: GossipBody { members, digest, key_version: 3 },
            member: member.clone(),
            balancers: balancers.clone(),
        };
        let encoded = ControlMessage::new(ControlBody::Probe(Probe {
            number,
            gossip: Some(gossip(&body.gossip)),
            member: member.as_ref().map(info),
            balancers: balancers.iter().map(address_info).collect(),
        }));
        let count = body.gossip.members.len() + 1;
        let computed = PeerMessage::Probe(body).wire_len();
        prop_assert!(computed >= encoded.encoded_len(), "{} < {}", computed, encoded.encoded_len());
        prop_assert!(computed <= encoded.encoded_len() + 24 + 4 * count);
    }
}
