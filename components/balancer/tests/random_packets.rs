//! Routing of callers' packets with random and with slightly damaged input.

use std::sync::Arc;

use carobdrum_balancer::{
    DropReason,
    ForwardPlan,
    PlanBuilder,
    PlanTarget,
    RouteDecision, //
};
use carobdrum_core::{
    connection::{
        FlowCodec,
        FlowId,
        FlowOwner, //
    },
    version::{
        CentreId,
        FleetKey,
        KeyRing,
        ServiceId, //
    },
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

const SERVICE: ServiceId = ServiceId(1);
const OTHER_SERVICE: ServiceId = ServiceId(2);

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(43),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn key() -> FleetKey {
    FleetKey::new(0, [9; 32])
}

fn owner(service: ServiceId) -> FlowOwner {
    FlowOwner {
        agent: "127.43.0.1:7500".parse().unwrap(),
        service,
        centre: CentreId(1),
        incarnation: 1,
    }
}

fn target(service: ServiceId) -> PlanTarget {
    PlanTarget {
        service,
        agent: format!("127.43.0.2:{}", 7_500 + service.0).parse().unwrap(),
        weight: 2.0,
    }
}

fn plan() -> ForwardPlan {
    PlanBuilder::default()
        .keys(Some(Arc::new(KeyRing::new(1, 0, [key()]))))
        .target(target(SERVICE))
        .target(target(OTHER_SERVICE))
        .build()
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against a panic on random bytes, and against a random packet that reaches the owner
    /// of a flow or an agent of another service.
    #[test]
    fn random_packet_reaches_no_owner(
        mut packet in prop::collection::vec(any::<u8>(), 0..1_300),
        version in 0..3_u8,
        id_len in 0..24_u8,
    ) {
        if packet.len() > 5 {
            packet[1..6].copy_from_slice(&[0, 0, 0, version, id_len]);
        }
        match plan().route(SERVICE, &packet) {
            RouteDecision::Placed { first, second } => {
                prop_assert_eq!(first, target(SERVICE).agent);
                prop_assert_eq!(second, None);
            }
            RouteDecision::Drop(DropReason::Malformed | DropReason::Unowned) => {}
            other => prop_assert!(false, "{other:?}"),
        }
    }

    /// Guards against a modified connection ID that still decrypts to an owner.
    #[test]
    fn damaged_flow_has_no_owner(
        sequence in any::<u16>(),
        random in any::<u8>(),
        index in 0..20_usize,
        bit in 0..8_u8,
    ) {
        let codec = FlowCodec::new(&key());
        let intact = codec.seal(&owner(SERVICE), sequence, random);
        prop_assert_eq!(codec.open(&intact), Some(owner(SERVICE)));
        let mut damaged = intact;
        damaged.0[index] ^= 1 << bit;
        prop_assert_eq!(codec.open(&damaged), None);
    }

    /// Guards against random connection IDs that decrypt to an owner.
    #[test]
    fn random_flow_has_no_owner(bytes in any::<[u8; 20]>()) {
        prop_assert_eq!(FlowCodec::new(&key()).open(&FlowId(bytes)), None);
    }

    /// Guards against a packet of an established flow that reaches another agent than its owner,
    /// whatever its other bytes are.
    #[test]
    fn owned_packet_reaches_its_owner_only(
        mut packet in prop::collection::vec(any::<u8>(), 21..100),
        sequence in any::<u16>(),
        is_foreign in any::<bool>(),
    ) {
        let service = if is_foreign { OTHER_SERVICE } else { SERVICE };
        let flow = FlowCodec::new(&key()).seal(&owner(service), sequence, 0);
        packet[0] &= 0x7f;
        packet[1..21].copy_from_slice(&flow.0);
        let expected = match is_foreign {
            true => RouteDecision::Drop(DropReason::ForeignService),
            false => RouteDecision::Established(owner(SERVICE).agent),
        };
        prop_assert_eq!(plan().route(SERVICE, &packet), expected);
    }
}
