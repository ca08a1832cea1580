//! Rules of the member list, the byte budget, the heartbeat plan and the version pull.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::{
    process::{
        ByteBudget,
        ByteClass,
        GossipBody,
        HeartbeatPlan,
        MemberAction,
        MemberEvent,
        MemberList,
        MemberProtocol,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerMessage,
        VersionPull,
        DEAD_RETENTION, //
    },
    Millis,
};
use proptest::prelude::*;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};

const STATES: [MemberState; 3] = [MemberState::Warm, MemberState::Suspect, MemberState::Dead];

fn address(id: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, id), 7_000)
}

fn record(id: u8, incarnation: u64, sequence: u32, state: MemberState) -> MemberRecord {
    MemberRecord::builder(MemberRole::Agent, address(id), incarnation)
        .location("nlm-a", "nl-midden")
        .sequence(sequence)
        .state(state)
        .build()
}

fn any_record() -> impl Strategy<Value = MemberRecord> {
    (0u8..8, 1u64..3, 1u32..4, 0usize..3).prop_map(|(id, incarnation, sequence, state)| {
        record(id, incarnation, sequence, STATES[state])
    })
}

named_cases! {
    /// Guards against records that replace newer ones.
    newer_record_wins(held: (u64, u32, MemberState), other: (u64, u32, MemberState), taken: bool) {
        same_dead_incarnation((5, 2, MemberState::Dead), (5, 2, MemberState::Warm), false);
        older_incarnation((5, 1, MemberState::Warm), (4, 9, MemberState::Dead), false);
        refutation((5, 2, MemberState::Dead), (5, 3, MemberState::Warm), true);
        new_process((5, 9, MemberState::Dead), (6, 1, MemberState::Cold), true);
        accusation((5, 2, MemberState::Warm), (5, 2, MemberState::Suspect), true);
    }
    {
        let mut list = MemberList::default();
        list.merge(Millis(0), record(1, held.0, held.1, held.2));
        let verdict = list.merge(Millis(1), record(1, other.0, other.1, other.2));
        assert_eq!(verdict.taken().is_some(), taken);
    }
}

/// Guards against dead members that are forgotten while their late records may still arrive.
#[test]
fn dead_members_are_pruned_late() {
    let mut list = MemberList::default();
    list.merge(Millis(0), record(1, 5, 1, MemberState::Dead));
    list.merge(Millis(0), record(2, 5, 1, MemberState::Warm));
    assert!(list.prune(Millis(DEAD_RETENTION.0 - 1)).is_empty());
    assert_eq!(list.prune(DEAD_RETENTION), [address(1)]);
    assert_eq!(list.len(), 1);
}

proptest! {
    /// Guards against lists that depend on the order in which records arrive, and against a
    /// digest that drifts from the list.
    #[test]
    fn order_of_records_is_irrelevant(
        records in proptest::collection::vec(any_record(), 0..40),
        seed in any::<u64>(),
    ) {
        let mut shuffled = records.clone();
        rand::seq::SliceRandom::shuffle(&mut shuffled[..], &mut SmallRng::seed_from_u64(seed));
        let mut lists = [MemberList::default(), MemberList::default(), MemberList::default()];
        for (list, records) in lists.iter_mut().zip([&records, &shuffled]) {
            for record in records {
                list.merge(Millis(0), record.clone());
            }
        }
        let final_records: Vec<MemberRecord> =
            lists[0].iter().map(|(_, record)| record.clone()).collect();
        for record in &final_records {
            lists[2].merge(Millis(0), record.clone());
        }
        let other: Vec<MemberRecord> =
            lists[1].iter().map(|(_, record)| record.clone()).collect();
        prop_assert_eq!(&final_records, &other);
        prop_assert_eq!(lists[0].buckets(), lists[1].buckets());
        prop_assert_eq!(lists[0].buckets(), lists[2].buckets());
        let live = final_records.iter().filter(|record| record.state != MemberState::Dead);
        prop_assert_eq!(lists[0].live_len(), live.count());
    }

    /// Guards against a fetch of what is held already, and a version that goes back.
    #[test]
    fn pulls_only_go_forward(
        steps in proptest::collection::vec((0u8..4, 1u32..20, 0u64..2_000), 1..60),
    ) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut pull = VersionPull::default();
        let mut now = Millis(0);
        for (kind, number, wait) in steps {
            now = now.plus(Millis(wait));
            let held = pull.held();
            match kind {
                0 => pull.adopted(number),
                1 => pull.failed(now, &mut rng),
                2 => prop_assert!(pull.saw(now, number, address(1)).is_none() || number > held),
                _ => prop_assert!(pull.due(now).is_none() || pull.is_behind()),
            }
            prop_assert!(pull.held() >= held);
        }
        pull.saw(now, 100, address(2));
        let retry = (0..12).any(|second| pull.due(now.plus(Millis(second * 1_000))).is_some());
        prop_assert!(retry, "a lost fetch isn't repeated");
    }

    /// Guards against membership traffic above the rate, and a take-out that waits behind it.
    #[test]
    fn budget_bounds_the_rate(sizes in proptest::collection::vec(1usize..1_200, 100..400)) {
        let mut budget = ByteBudget::new(3_072, 16_384);
        let mut sent = 0;
        for (step, &size) in sizes.iter().enumerate() {
            let now = Millis(step as u64 * 50);
            let passed = budget.take(now, ByteClass::Membership, size);
            sent += if passed { size } else { 0 };
        }
        let end = Millis(sizes.len() as u64 * 50);
        prop_assert!(sent as u64 <= 16_384 + 3_072 * end.0 / 1_000);
        while budget.take(end, ByteClass::Membership, 1_000) {}
        prop_assert!(budget.take(end, ByteClass::Version, 1_000), "no reserve for versions");
        while budget.take(end, ByteClass::Version, 1_000) {}
        prop_assert!(budget.take(end, ByteClass::TakeOut, 1_000), "a take-out waits");
    }
}

/// Guards against a choice that moves many agents when one balancer leaves, or that crosses data
/// centres without need.
#[test]
fn heartbeat_plan_is_stable_and_local() {
    let mut list = MemberList::default();
    for id in 0..20 {
        let centre = format!("nlm-{}", id % 2);
        let balancer = MemberRecord::builder(MemberRole::Balancer, address(id), 1)
            .location(centre, "nl-midden")
            .build();
        list.merge(Millis(0), balancer);
    }
    let agents: Vec<MemberRecord> = (100..200)
        .map(|id| {
            MemberRecord::builder(MemberRole::Agent, address(id), 1)
                .location("nlm-1", "nl-midden")
                .build()
        })
        .collect();
    let before = HeartbeatPlan::new(&list);
    let gone = record(1, 1, 1, MemberState::Dead);
    list.merge(Millis(1), gone);
    let after = HeartbeatPlan::new(&list);
    for agent in &agents {
        let old = before.choose(agent);
        assert!(old
            .iter()
            .all(|balancer| balancer.ip().octets()[3] % 2 == 1));
        let kept = |&&balancer: &&SocketAddrV4| balancer != address(1);
        let expected: Vec<SocketAddrV4> = old.iter().filter(kept).take(2).copied().collect();
        assert_eq!(after.choose(agent)[..2], expected);
    }
}

/// Guards against a paused process that confirms its suspicions when it runs again, although the
/// refutations didn't fit into its socket buffer.
#[test]
fn pause_confirms_no_suspicion() {
    let balancer = |id| MemberRecord::builder(MemberRole::Balancer, address(id), 1).build();
    let rng = SmallRng::seed_from_u64(1);
    let mut protocol = MemberProtocol::builder(balancer(1), rng).build();
    let records = vec![balancer(2), balancer(3)];
    let peer = address(2);
    protocol.handle(Millis(0), MemberEvent::SyncCompleted { peer, records });
    let suspects = |protocol: &MemberProtocol| {
        let mut peers = [2, 3].into_iter();
        peers.find(|&id| {
            let record = protocol.list().find(address(id));
            record.is_some_and(|record| record.state == MemberState::Suspect)
        })
    };
    let mut now = Millis(0);
    while suspects(&protocol).is_none() {
        now = now.plus(Millis(100));
        assert!(now < Millis(10_000), "a silent peer isn't suspected");
        protocol.handle(now, MemberEvent::Tick);
    }
    let suspect = suspects(&protocol).expect("the loop ended with a suspect");
    let later = now.plus(Millis(20_000));
    let waiting = MemberEvent::Received {
        from: address(5 - suspect),
        version: 0,
        message: PeerMessage::Gossip(GossipBody::default()),
    };
    protocol.handle(later, waiting);
    protocol.handle(later, MemberEvent::Tick);
    let state = protocol
        .list()
        .find(address(suspect))
        .map(|record| record.state);
    assert_eq!(state, Some(MemberState::Suspect));
}

/// Guards against probes that count as unanswered although an empty byte budget kept them back.
#[test]
fn empty_budget_stops_no_probe() {
    let balancer = |id| MemberRecord::builder(MemberRole::Balancer, address(id), 1).build();
    let rng = SmallRng::seed_from_u64(1);
    let builder = MemberProtocol::builder(balancer(1), rng).rates(0, 0);
    let mut protocol = builder.build();
    let records = vec![balancer(2)];
    let peer = address(2);
    protocol.handle(Millis(0), MemberEvent::SyncCompleted { peer, records });
    let mut last_probe = Millis(0);
    let end = Millis(1_000_000);
    for step in 1..=end.0 / 100 {
        let now = Millis(step * 100);
        for action in protocol.handle(now, MemberEvent::Tick) {
            let MemberAction::Send { to, message } = action else {
                continue;
            };
            if let PeerMessage::Probe(probe) = message {
                last_probe = now;
                let message = PeerMessage::ProbeAck(probe);
                let version = 0;
                let from = to;
                protocol.handle(
                    now,
                    MemberEvent::Received {
                        from,
                        version,
                        message,
                    },
                );
            }
        }
    }
    assert!(
        end.since(last_probe) < Millis(2_000),
        "probes stopped at {last_probe:?}"
    );
    let state = protocol.list().find(peer).map(|record| record.state);
    assert_eq!(state, Some(MemberState::Warm));
}
