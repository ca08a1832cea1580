//! Agents as a balancer knows them when the store comes back from an older copy.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        AgentReport,
        AgentTable,
        MemberListing,
        MemberUpdate, //
    },
    version::StoreRevision,
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

/// Time of the first listing after the return.
const RETURN_TIME: u64 = 10_000;

/// Time for which an entry must be missing until its agent counts as gone.
const MISSING_TIME: u64 = 2_500;

fn order(era: u32, number: u64) -> u64 {
    StoreRevision::new(era, number).order()
}

fn record(number: u8) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        is_leaving: false,
    }
}

/// Returns a list in this era of registered agents, each with an entry, whose last writes have these revisions.
fn listing(era: u32, agents: &[(u8, u64)], started: u64) -> MemberListing {
    let records: Vec<AgentRecord> = agents.iter().map(|(number, _)| record(*number)).collect();
    let revisions = agents.iter();
    MemberListing {
        entries: records.clone(),
        registrations: records,
        revision: order(era, 30),
        revisions: revisions
            .map(|(number, revision)| (agent(*number), order(era, *revision)))
            .collect(),
        started: Millis(started),
        finished: Millis(started + 10),
        ..MemberListing::default()
    }
}

fn apply(table: &mut AgentTable, listing: MemberListing) {
    let now = listing.finished;
    table.apply_members(MemberUpdate::Listed(listing), now);
    table.expire(now);
}

fn report(accepts: bool) -> AgentReport {
    AgentReport {
        accepts,
        is_confirmed: true,
        slots: 2,
        ..AgentReport::default()
    }
}

fn is_possible(table: &AgentTable, number: u8) -> bool {
    table.possible_owners(None).contains(&agent(number))
}

/// Returns whether a new flow is offered to this agent.
fn is_candidate(router: &mut FlowRouter, number: u8, now: u64) -> bool {
    match router.route(&open_packet(1), Millis(now)) {
        RouteAction::Forward { to, header } => {
            to == agent(number) || header.rest.contains(&agent(number))
        }
        _ => false,
    }
}

/// Guards against the reset of flows of a live agent that registered after the copy, and against one that counts for ever
/// although it isn't back.
#[test]
fn an_agent_that_the_copy_lacks_is_no_sooner_gone_than_after_an_outage() {
    let mut table = AgentTable::default();
    apply(&mut table, listing(1, &[(1, 5), (2, 20)], 0));
    for started in (RETURN_TIME..=RETURN_TIME + MISSING_TIME).step_by(500) {
        apply(&mut table, listing(2, &[(1, 5)], started));
        assert!(is_possible(&table, 2), "at {started}");
    }
    let registered = MemberUpdate::Registered(record(2), order(2, 31));
    let mut returned = AgentTable::default();
    apply(&mut returned, listing(1, &[(2, 20)], 0));
    apply(&mut returned, listing(2, &[], RETURN_TIME));
    returned.apply_members(registered, Millis(RETURN_TIME + 100));
    returned.insert(record(2), Millis(RETURN_TIME + 100));
    for started in [3_000, 6_000] {
        let started = RETURN_TIME + started;
        apply(&mut table, listing(2, &[(1, 5)], started));
        apply(&mut returned, listing(2, &[(2, 31)], started));
        assert!(!is_possible(&table, 2), "at {started}");
        assert!(is_possible(&returned, 2), "at {started}");
    }
}

/// Guards against an agent that is gone at the return, as its entry was missing before, when it couldn't write it.
#[test]
fn the_time_of_a_missing_entry_begins_anew_with_the_era() {
    let mut table = AgentTable::default();
    apply(&mut table, listing(1, &[(1, 5)], 0));
    let without_entry = |era, started| MemberListing {
        entries: Vec::new(),
        ..listing(era, &[(1, 5)], started)
    };
    for started in (500..=2_500).step_by(500) {
        apply(&mut table, without_entry(1, started));
    }
    apply(&mut table, without_entry(2, 3_100));
    assert!(is_possible(&table, 1));
}

/// Guards against an agent that counts on although its registration was deleted in the new era.
#[test]
fn a_deletion_in_the_new_era_ends_an_agent_that_the_copy_lacks() {
    let mut table = AgentTable::default();
    apply(&mut table, listing(1, &[(2, 20)], 0));
    apply(&mut table, listing(2, &[], RETURN_TIME));
    table.apply_members(MemberUpdate::Unregistered(agent(2)), Millis(RETURN_TIME));
    for now in [0, 3_000] {
        table.expire(Millis(RETURN_TIME + now));
    }
    assert!(!is_possible(&table, 2));
}

/// Guards against the registration of a server that has ended which the copy brings back, and against a later process
/// at the address that counts as ended with it.
#[rstest]
#[case::same_write(5)]
#[case::earlier_write(3)]
fn an_ended_registration_of_the_copy_stays_ended(#[case] copied: u64) {
    let mut table = AgentTable::default();
    apply(&mut table, listing(1, &[(1, 5)], 0));
    assert!(table.note_ended(agent(1), order(1, 5)));
    for started in [RETURN_TIME, RETURN_TIME + 500] {
        apply(&mut table, listing(2, &[(1, copied)], started));
        assert!(!is_possible(&table, 1));
    }
    let written = MemberUpdate::Registered(record(1), order(2, 31));
    table.apply_members(written, Millis(RETURN_TIME + 600));
    assert!(is_possible(&table, 1));
}

/// Guards against new flows at an agent that is gone and whose entry the copy brings back, and against one that gets none
/// although it answers.
#[test]
fn an_unknown_agent_of_the_copy_gets_no_flow_before_it_reports() {
    let mut router = router(0);
    apply(&mut router.agents, listing(1, &[(1, 5)], 0));
    router
        .agents
        .apply_report(agent(1), report(true), Millis(20));
    let now = RETURN_TIME + 10;
    apply(
        &mut router.agents,
        listing(2, &[(1, 5), (2, 4)], RETURN_TIME),
    );
    assert!(!is_candidate(&mut router, 2, now));
    assert!(router.agents.next_probes(Millis(now)).contains(&agent(2)));
    router
        .agents
        .apply_report(agent(2), report(true), Millis(now));
    assert!(is_candidate(&mut router, 2, now));
}

/// Guards against new flows at a server that is leaving, as the copy is older than its leave.
#[test]
fn the_copy_brings_no_leaving_server_back() {
    let mut router = router(0);
    apply(&mut router.agents, listing(1, &[(1, 5)], 0));
    router.agents.insert(
        AgentRecord {
            is_leaving: true,
            ..record(1)
        },
        Millis(100),
    );
    apply(&mut router.agents, listing(2, &[(1, 5)], RETURN_TIME));
    assert!(!is_candidate(&mut router, 1, RETURN_TIME + 10));
}

/// Guards against a live agent that counts as gone since the copy holds an old mark of its absence.
#[test]
fn a_mark_of_the_copy_proves_no_absence() {
    let mut table = AgentTable::default();
    apply(&mut table, listing(1, &[(1, 5)], 0));
    let copy = MemberListing {
        entries: Vec::new(),
        absent: vec![(agent(1), order(1, 5))],
        ..listing(2, &[(1, 5)], RETURN_TIME)
    };
    apply(&mut table, copy);
    assert!(!table.has_marked());
}
