//! Agents that may hold flows although the store lists no entry of them.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        name_hash,
        AgentRecord,
        AgentReport,
        AgentTable,
        MemberListing,
        MemberUpdate,
        RegistrationCleanup, //
    },
    FlowRouter,
    RouteAction, //
};
use rstest::rstest;
use support::{
    agent,
    open_packet,
    router,
    CENTRE,
    SERVICE, //
};

const LIFETIME: Millis = Millis(60_000);

fn record(number: u8, service: &str) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        centre: CENTRE.into(),
        service: service.into(),
        is_leaving: false,
    }
}

/// Lists agents with an entry and registered agents of `SERVICE`, from `started` for 10 ms.
fn list(table: &mut AgentTable, entries: &[u8], registered: &[u8], started: u64) {
    let records = |numbers: &[u8]| {
        numbers
            .iter()
            .map(|number| record(*number, SERVICE))
            .collect()
    };
    let listing = MemberListing {
        entries: records(entries),
        registrations: records(registered),
        started: Millis(started),
        finished: Millis(started + 10),
        ..MemberListing::default()
    };
    table.apply_members(MemberUpdate::Listed(listing), Millis(started + 10));
    table.expire(Millis(started + 10));
}

/// Lists as `list` does, every 500 ms from `start` to `end`.
fn list_until(table: &mut AgentTable, entries: &[u8], registered: &[u8], start: u64, end: u64) {
    for started in (start..=end).step_by(500) {
        list(table, entries, registered, started);
    }
}

fn is_possible(table: &AgentTable, number: u8) -> bool {
    let owners = table.possible_owners(Some(&[name_hash(SERVICE)]));
    assert_eq!(owners, table.possible_owners(None), "there is one service");
    owners.contains(&agent(number))
}

/// Guards against the reset of flows of an agent whose lease has lapsed: it lives, and its entry is back
/// after two seconds.
#[test]
fn lapsed_entry_of_a_living_agent() {
    let mut table = AgentTable::default();
    list(&mut table, &[1, 2], &[1, 2], 0);
    table.mark_expired(agent(1), Millis(5_000));
    for now in (5_000..7_000).step_by(100) {
        table.expire(Millis(now));
        assert!(is_possible(&table, 1));
    }
    list_until(&mut table, &[2], &[1, 2], 7_000, 9_000);
    assert!(
        is_possible(&table, 1),
        "its entry was listed as missing for 2 s only"
    );
    table.insert(record(1, SERVICE), Millis(9_200));
    list_until(&mut table, &[1, 2], &[1, 2], 9_500, 15_000);
    assert!(is_possible(&table, 1));
}

/// Guards against the reset of flows of an agent whose key was removed behind its back.
#[test]
fn revoked_key_of_an_agent_that_answers() {
    let mut table = AgentTable::default();
    list(&mut table, &[1], &[1], 0);
    table.mark_expired(agent(1), Millis(100));
    for started in (500..20_000).step_by(500) {
        table.apply_report(agent(1), AgentReport::default(), Millis(started));
        list(&mut table, &[], &[1], started);
        assert!(is_possible(&table, 1), "at {started}");
    }
}

/// Guards against the time of an outage that counts against an agent, which can't write its entry then.
#[rstest]
#[case::requests_fail(true)]
#[case::watch_is_silent(false)]
fn store_away(#[case] fails: bool) {
    let mut table = AgentTable::default();
    list_until(&mut table, &[], &[1], 0, 2_000);
    if fails {
        table.apply_members(MemberUpdate::StoreFailed, Millis(2_100));
        list(&mut table, &[], &[1], 2_600);
    } else {
        list(&mut table, &[], &[1], 30_000);
    }
    assert!(is_possible(&table, 1));
    let returned = if fails { 2_600 } else { 30_000 };
    list_until(&mut table, &[], &[1], returned + 500, returned + 2_500);
    assert!(
        is_possible(&table, 1),
        "the store has been back for 2.5 s less one request"
    );
    list(&mut table, &[], &[1], returned + 3_000);
    assert!(!is_possible(&table, 1));
}

/// Guards against the reset of flows by a balancer that has started while the entry of their agent was
/// missing, and against such an agent as a candidate.
#[test]
fn balancer_restarted_during_a_lapse() {
    let mut router = router(0);
    list(&mut router.agents, &[], &[1], 0);
    assert!(is_possible(&router.agents, 1));
    assert_eq!(router.agents.confirmed_since(), Some(Millis(0)));
    let action = router.route(&open_packet(1), Millis(20));
    assert!(matches!(action, RouteAction::Refuse(_)), "{action:?}");
    assert_eq!(router.agents.next_probes(Millis(20)), [agent(1)]);
    router.agents.discover(record(1, SERVICE), Millis(30));
    router
        .agents
        .apply_report(agent(1), AgentReport::default(), Millis(30));
    list_until(&mut router.agents, &[], &[1], 500, 1_500);
    assert!(is_possible(&router.agents, 1));
}

/// Guards against flows that can never be reset since the agent of a lost VM counts for good, and against
/// endless probes of it.
#[test]
fn crash_for_good() {
    let mut table = AgentTable::default();
    list(&mut table, &[1, 2], &[1, 2], 0);
    table.mark_expired(agent(1), Millis(6_000));
    list_until(&mut table, &[2], &[1, 2], 20_000, 22_500);
    assert!(is_possible(&table, 1));
    list(&mut table, &[2], &[1, 2], 23_000);
    assert!(!is_possible(&table, 1));
    assert!(is_possible(&table, 2));
    let mut table = AgentTable::default();
    list(&mut table, &[], &[1], 0);
    let probes = (0..600).filter(|step| !table.next_probes(Millis(step * 100)).is_empty());
    assert_eq!(probes.count(), 10);
}

/// Guards against an agent that counts for a service whose address has passed to another one, and against one
/// that counts for no service while its report and the store differ.
#[test]
fn address_taken_over_by_another_service() {
    let mut table = AgentTable::default();
    list(&mut table, &[1], &[1], 0);
    let (before, after) = (name_hash(SERVICE), name_hash("other"));
    table.discover(record(1, "other"), Millis(50));
    assert_eq!(table.possible_owners(Some(&[before])), [agent(1)]);
    assert_eq!(table.possible_owners(Some(&[after])), [agent(1)]);
    table.insert(record(1, "other"), Millis(100));
    table.apply_members(MemberUpdate::Registered(record(1, "other"), 2), Millis(100));
    assert_eq!(table.possible_owners(Some(&[before])), []);
    assert_eq!(table.possible_owners(Some(&[after])), [agent(1)]);
    assert_eq!(table.possible_owners(None), [agent(1)]);
}

/// Guards against opening packets to a dead agent while flows are searched for: each listing shows its entry
/// until the lease has expired.
#[test]
fn listings_keep_the_suspicion_of_a_dead_agent() {
    let mut router = router(0);
    let is_candidate = |router: &mut FlowRouter, now: u64| {
        let report = AgentReport {
            accepts: true,
            ..AgentReport::default()
        };
        router.agents.apply_report(agent(2), report, Millis(now));
        let action = router.route(&open_packet(1), Millis(now));
        let RouteAction::Forward { to, header } = action else {
            panic!("{action:?}");
        };
        to == agent(1) || header.rest.contains(&agent(1))
    };
    list(&mut router.agents, &[1, 2], &[1, 2], 0);
    assert!(is_candidate(&mut router, 20));
    router.agents.note_sent(agent(1), Millis(20));
    for started in (300..3_000).step_by(300) {
        list(&mut router.agents, &[1, 2], &[1, 2], started);
        assert!(!is_candidate(&mut router, started + 10), "at {started}");
    }
    router.agents.mark_expired(agent(1), Millis(3_000));
    list(&mut router.agents, &[1, 2], &[1, 2], 3_100);
    assert!(
        is_candidate(&mut router, 3_110),
        "it may have started again"
    );
}

/// Guards against an agent of an older build that counts after its entry is gone, as nothing would end that.
#[test]
fn older_build_without_registrations() {
    let mut table = AgentTable::default();
    list(&mut table, &[1], &[], 0);
    assert!(is_possible(&table, 1));
    table.mark_expired(agent(1), Millis(1_000));
    assert!(is_possible(&table, 1), "it may still answer");
    assert_eq!(table.expire(Millis(3_000)), [agent(1)]);
    assert!(!is_possible(&table, 1));
}

/// Guards against an agent of a first listing that counts as gone without any time in which it could write
/// its entry, and against one that counts after its registration was deleted.
#[test]
fn registration_without_an_entry_in_the_first_listing() {
    let mut table = AgentTable::default();
    list_until(&mut table, &[], &[1], 100_000, 102_500);
    assert!(is_possible(&table, 1));
    list(&mut table, &[], &[1], 103_000);
    assert!(!is_possible(&table, 1));
    table.apply_members(
        MemberUpdate::Registered(record(1, SERVICE), 2),
        Millis(103_100),
    );
    assert!(is_possible(&table, 1), "it was written again");
    table.apply_members(MemberUpdate::Unregistered(agent(1)), Millis(103_200));
    assert!(!is_possible(&table, 1));
}

/// Guards against registrations that are deleted while their agents may hold flows or while the store was away,
/// and against registrations that stay for ever.
#[test]
fn registrations_are_deleted_after_the_lifetime_of_a_flow() {
    let mut cleanup = RegistrationCleanup::new(LIFETIME);
    cleanup.apply_listing([agent(1)], [(agent(1), 5), (agent(2), 6)]);
    assert_eq!(cleanup.next_due(Millis(0), || 0.5), None);
    assert_eq!(cleanup.next_due(Millis(89_999), || 0.5), None);
    cleanup.note_failure();
    assert_eq!(cleanup.next_due(Millis(90_000), || 0.5), None);
    assert_eq!(
        cleanup.next_due(Millis(180_000), || 0.5),
        Some((agent(2), 6))
    );
    assert_eq!(
        cleanup.next_due(Millis(180_001), || 0.5),
        None,
        "tried once"
    );
    cleanup.note_missing(agent(1));
    cleanup.remove_registration(agent(2));
    assert_eq!(cleanup.next_due(Millis(200_000), || 0.5), None);
    cleanup.note_entry(agent(1));
    cleanup.note_missing(agent(1));
    cleanup.note_registration(agent(1), 7);
    assert_eq!(
        cleanup.next_due(Millis(290_000), || 0.5),
        None,
        "written anew"
    );
    assert_eq!(
        cleanup.next_due(Millis(380_000), || 0.5),
        Some((agent(1), 7))
    );
}
