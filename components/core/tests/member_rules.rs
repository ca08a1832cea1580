//! Rules of the member list, the byte budget, the heartbeat assignment and the fetch schedule, and
//! of probes in the membership protocol.

#[macro_use]
#[path = "support/cases.rs"]
mod cases;

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::{
    process::{
        AgentAnnouncer,
        ByteBudget,
        ByteClass,
        FetchSchedule,
        GossipBody,
        HeartbeatAssignment,
        MemberAction,
        MemberEvent,
        MemberList,
        MemberProtocol,
        MemberRecord,
        MemberRole,
        MemberState,
        PeerMessage,
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
    /// Guards against a record that replaces a newer one.
    newer_record_wins(held: (u64, u32, MemberState), other: (u64, u32, MemberState), accepted: bool) {
        same_dead_incarnation((5, 2, MemberState::Dead), (5, 2, MemberState::Warm), false);
        older_incarnation((5, 1, MemberState::Warm), (4, 9, MemberState::Dead), false);
        refutation((5, 2, MemberState::Dead), (5, 3, MemberState::Warm), true);
        new_process((5, 9, MemberState::Dead), (6, 1, MemberState::Cold), true);
        failure_report((5, 2, MemberState::Warm), (5, 2, MemberState::Suspect), true);
    }
    {
        let mut list = MemberList::default();
        list.merge(Millis(0), record(1, held.0, held.1, held.2));
        let outcome = list.merge(Millis(1), record(1, other.0, other.1, other.2));
        assert_eq!(outcome.accepted().is_some(), accepted);
    }
}

/// Guards against the removal of dead members while stale records of them may still arrive.
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
    /// Guards against a member list that depends on the order in which records arrive, and against
    /// digests or a live count that don't match the records.
    #[test]
    fn merge_is_independent_of_record_order(
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

    /// Guards against a fetch of a version that is in force already, against a version in force
    /// that decreases, and against a lost fetch that isn't retried.
    #[test]
    fn fetch_schedule_only_moves_forward(
        steps in proptest::collection::vec((0u8..4, 1u32..20, 0u64..2_000), 1..60),
    ) {
        let mut rng = SmallRng::seed_from_u64(1);
        let mut schedule = FetchSchedule::default();
        let mut now = Millis(0);
        for (kind, number, delay) in steps {
            now = now.plus(Millis(delay));
            let held = schedule.current();
            match kind {
                0 => schedule.set_current(number),
                1 => schedule.fetch_failed(now, &mut rng),
                2 => prop_assert!(schedule.observe(now, number, address(1)).is_none() || number > held),
                _ => prop_assert!(schedule.next_source(now).is_none() || schedule.is_behind()),
            }
            prop_assert!(schedule.current() >= held);
        }
        schedule.observe(now, 100, address(2));
        let retry = (0..12).any(|second| schedule.next_source(now.plus(Millis(second * 1_000))).is_some());
        prop_assert!(retry, "a lost fetch isn't retried");
    }

    /// Guards against membership traffic above the rate, and against version announcements that
    /// have to wait for it.
    #[test]
    fn budget_limits_the_rate(sizes in proptest::collection::vec(1usize..1_200, 100..400)) {
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
        prop_assert!(budget.take(end, ByteClass::Version, 1_000), "membership traffic used up the reserve for versions");
        while budget.take(end, ByteClass::Version, 1_000) {}
        prop_assert!(budget.take(end, ByteClass::Evacuation, 1_000), "an evacuation had to wait");
    }
}

/// Guards against an assignment that moves agents of other balancers when one balancer leaves, or
/// that uses balancers of another data centre without need.
#[test]
fn heartbeat_assignment_is_stable_and_local() {
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
    let before = HeartbeatAssignment::new(&list);
    let dead_balancer = record(1, 1, 1, MemberState::Dead);
    list.merge(Millis(1), dead_balancer);
    let after = HeartbeatAssignment::new(&list);
    for agent in &agents {
        let old = before.choose(agent);
        assert!(old
            .iter()
            .all(|balancer| balancer.ip().octets()[3] % 2 == 1));
        let remaining = |&&balancer: &&SocketAddrV4| balancer != address(1);
        let expected: Vec<SocketAddrV4> = old.iter().filter(remaining).take(2).copied().collect();
        assert_eq!(after.choose(agent)[..2], expected);
    }
}

/// Guards against a process that was paused and then confirms its suspicions, although the
/// refutations may have been lost because the socket buffer was full.
#[test]
fn pause_confirms_no_suspicion() {
    let balancer = |id| MemberRecord::builder(MemberRole::Balancer, address(id), 1).build();
    let rng = SmallRng::seed_from_u64(1);
    let mut protocol = MemberProtocol::builder(balancer(1), rng).build();
    let records = vec![balancer(2), balancer(3)];
    let peer = address(2);
    protocol.handle(Millis(0), MemberEvent::SyncCompleted { peer, records });
    let find_suspect = |protocol: &MemberProtocol| {
        let mut peers = [2, 3].into_iter();
        peers.find(|&id| {
            let record = protocol.list().find(address(id));
            record.is_some_and(|record| record.state == MemberState::Suspect)
        })
    };
    let mut now = Millis(0);
    while find_suspect(&protocol).is_none() {
        now = now.plus(Millis(100));
        assert!(
            now < Millis(10_000),
            "no unresponsive peer is suspected after 10 s"
        );
        protocol.handle(now, MemberEvent::Tick);
    }
    let suspect = find_suspect(&protocol).expect("the loop ended with a suspect");
    let later = now.plus(Millis(20_000));
    let late_message = MemberEvent::Received {
        from: address(5 - suspect),
        version: 0,
        message: PeerMessage::Gossip(GossipBody::default()),
    };
    protocol.handle(later, late_message);
    protocol.handle(later, MemberEvent::Tick);
    let state = protocol
        .list()
        .find(address(suspect))
        .map(|record| record.state);
    assert_eq!(state, Some(MemberState::Suspect));
}

/// Guards against probes that time out because an empty byte budget prevented them from being sent.
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
        "the last probe was sent at {last_probe:?}, more than 2 s before the end"
    );
    let state = protocol.list().find(peer).map(|record| record.state);
    assert_eq!(state, Some(MemberState::Warm));
}

/// Returns the messages among the actions, with their receivers.
fn messages(actions: Vec<MemberAction>) -> Vec<(SocketAddrV4, PeerMessage)> {
    let message = |action| match action {
        MemberAction::Send { to, message } => Some((to, message)),
        _ => None,
    };
    actions.into_iter().filter_map(message).collect()
}

fn received(from: SocketAddrV4, message: PeerMessage) -> MemberEvent {
    MemberEvent::Received {
        from,
        version: 0,
        message,
    }
}

/// Guards against a balancer that knows no other member although it forwards flows of an agent that
/// does: the agent answers its introduction with its record and its balancers.
#[test]
fn a_balancer_joins_through_an_agent_that_it_forwards_to() {
    let (own, agent, other) = (address(1), address(2), address(3));
    let random = |seed| SmallRng::seed_from_u64(seed);
    let own_record = MemberRecord::builder(MemberRole::Balancer, own, 1).build();
    let mut balancer = MemberProtocol::builder(own_record, random(1)).build();
    let agent_record = MemberRecord::builder(MemberRole::Agent, agent, 1)
        .slots(4, 255)
        .build();
    let mut announcer = AgentAnnouncer::new(agent_record, random(2), [other]);
    announcer.handle(Millis(0), MemberEvent::Tick);
    balancer.handle(Millis(0), MemberEvent::Tick);

    let seen = MemberEvent::AgentSeen { agent };
    let introduction = messages(balancer.handle(Millis(100), seen.clone())).remove(0);
    assert_eq!(introduction.0, agent);
    let answer = announcer.handle(Millis(101), received(own, introduction.1));
    let ack = messages(answer).remove(0).1;
    balancer.handle(Millis(102), received(agent, ack));
    let found = balancer.list().find(agent);
    assert!(found.is_some_and(|record| record.weight() > 0));
    assert_eq!(balancer.handle(Millis(103), seen), [], "the agent is known");
    let is_contacted = (2..30).any(|tick| {
        let sent = messages(balancer.handle(Millis(tick * 100), MemberEvent::Tick));
        sent.iter().any(|(to, _)| *to == other)
    });
    assert!(is_contacted, "the balancers of the agent are contacted");
}
