//! Deletion of the registrations of agents whose servers have ended.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::process::{
    AgentRecord,
    AgentReport,
    AgentTable,
    Deregistration,
    HandedDeletions,
    MemberListing,
    MemberUpdate,
    RegistrationCleanup,
    ReportSchedule, //
};
use rstest::rstest;
use support::{
    agent,
    CENTRE,
    SERVICE, //
};

/// Guards against an agent that is killed in an attempt, and against one that doesn't try at all since its
/// open flows took the whole grace period.
#[rstest]
#[case::ends_in_time(5_000, 0, 500, 5)]
#[case::flows_take_the_grace_period(5_000, 4_300, 300, 1)]
#[case::no_time_left(5_000, 4_900, 300, 1)]
#[case::no_grace_period(0, 0, 300, 1)]
fn attempts_end_with_the_grace_period(
    #[case] grace: u64,
    #[case] begin: u64,
    #[case] first: u64,
    #[case] most: u32,
) {
    let signalled = Millis(1_000);
    let mut now = signalled.plus(Millis(begin));
    let mut attempts = Deregistration::new(signalled, Millis(grace));
    let mut limits = Vec::new();
    while let Some(limit) = attempts.begin_attempt(now) {
        limits.push(limit);
        now = now.plus(limit);
        now = now.plus(attempts.pause(Deregistration::MAX_PAUSE, now));
    }
    assert_eq!(limits[0], Millis(first));
    assert_eq!(attempts.attempts(), limits.len() as u32);
    assert!(attempts.attempts() <= most, "{limits:?}");
    let end = signalled
        .plus(Millis(grace.max(begin + 800)))
        .since(Millis(500));
    assert!(now <= end, "{limits:?}");
}

fn record() -> AgentRecord {
    AgentRecord {
        address: agent(1),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        is_leaving: true,
    }
}

/// Returns a list of an agent whose registration has this revision, with its entry if `has_entry`.
fn listing(revision: u64, has_entry: bool, started: u64) -> MemberListing {
    MemberListing {
        entries: has_entry.then(record).into_iter().collect(),
        registrations: vec![record()],
        revisions: vec![(agent(1), revision)],
        started: Millis(started),
        finished: Millis(started + 10),
        ..MemberListing::default()
    }
}

fn list(table: &mut AgentTable, revision: u64, has_entry: bool, started: u64) {
    let listing = listing(revision, has_entry, started);
    table.apply_members(MemberUpdate::Listed(listing), Millis(started + 10));
    table.expire(Millis(started + 10));
}

/// Returns the report of a server that is draining, unless it `accepts` flows.
fn report(accepts: bool) -> AgentReport {
    AgentReport {
        accepts,
        is_confirmed: true,
        ..AgentReport::default()
    }
}

fn is_possible(table: &AgentTable) -> bool {
    !table.possible_owners(None).is_empty()
}

/// Guards against searches that wait for the agent of a server that has ended, whether its lease has ended or
/// not, and against listings of the same keys that bring it back.
#[rstest]
#[case::with_entry(true)]
#[case::without_entry(false)]
fn ended_server_is_no_possible_owner(#[case] has_entry: bool) {
    let mut table = AgentTable::default();
    list(&mut table, 5, has_entry, 0);
    assert!(is_possible(&table));
    assert!(table.note_ended(agent(1), 5));
    assert!(!is_possible(&table));
    list(&mut table, 5, has_entry, 100);
    assert!(!is_possible(&table));
}

/// Guards against the reset of flows of a new process at the address: its keys are newer, or it has sent a
/// packet, also if the message is repeated or late.
#[rstest]
#[case::listed(0)]
#[case::entry_written(1)]
#[case::registration_written(2)]
#[case::packet(3)]
fn new_process_counts_again(#[case] cause: u8) {
    let mut table = AgentTable::default();
    list(&mut table, 5, true, 0);
    assert!(table.note_ended(agent(1), 5));
    match cause {
        0 => list(&mut table, 7, true, 100),
        1 => table.note_written(agent(1), 6),
        2 => drop(table.apply_members(MemberUpdate::Registered(record(), 7), Millis(100))),
        _ => assert!(table.note_alive(agent(1))),
    }
    assert!(is_possible(&table));
    assert!(!table.note_ended(agent(1), 5), "the message is late");
    assert!(is_possible(&table));
    assert!(
        table.note_ended(agent(1), 9),
        "the new process has ended too"
    );
    assert!(!is_possible(&table));
}

/// Guards against a first message that arrives after a new process has reported, but not registered.
#[test]
fn late_message_about_a_server_that_accepts_flows() {
    let mut table = AgentTable::default();
    assert!(!table.note_ended(agent(1), 5), "the agent isn't known");
    list(&mut table, 5, true, 0);
    table.apply_report(agent(1), report(true), Millis(20));
    assert!(!table.note_ended(agent(1), 5));
    assert!(is_possible(&table));
    table.apply_report(agent(1), report(false), Millis(30));
    assert!(table.note_ended(agent(1), 5));
}

/// Guards against calls to the store for each copy of a message, and for a registration older than that of
/// another message.
#[test]
fn repeated_messages_cause_one_deletion() {
    let mut deletions = HandedDeletions::default();
    assert!(deletions.add(agent(1), 5, 0.5, Millis(0)));
    assert!(!deletions.add(agent(1), 5, 0.5, Millis(10)));
    assert!(!deletions.add(agent(1), 4, 0.5, Millis(10)));
    assert_eq!(deletions.next_due(Millis(99)), None, "others may be first");
    assert_eq!(deletions.next_due(Millis(100)), Some((agent(1), 5)));
    deletions.conclude(agent(1));
    assert!(!deletions.add(agent(1), 5, 0.0, Millis(500)));
    assert_eq!(deletions.next_time(), None);
    assert!(deletions.add(agent(1), 7, 0.0, Millis(600)));
    assert_eq!(deletions.next_due(Millis(600)), Some((agent(1), 7)));
}

/// Guards against a deletion that is given up while the store is away for seconds, and against one that is
/// tried for ever.
#[test]
fn deletion_is_tried_for_thirty_seconds() {
    let mut deletions = HandedDeletions::default();
    deletions.add(agent(1), 5, 0.0, Millis(0));
    for now in (0..30_000).step_by(500) {
        assert_eq!(deletions.next_due(Millis(now)), Some((agent(1), 5)));
        deletions.note_failure(agent(1), Millis(500), Millis(now));
        assert_eq!(deletions.next_due(Millis(now)), None);
        assert!(deletions.expire(Millis(now)).is_empty());
    }
    assert_eq!(deletions.expire(Millis(30_000)), [agent(1)]);
    assert_eq!(deletions.next_time(), None);
}

/// Guards against a queue that grows with the fleet after the loss of a data centre.
#[test]
fn pending_deletions_are_limited() {
    let mut deletions = HandedDeletions::default();
    let mut address = agent(1);
    let mut added = 0;
    for port in 1..1_000 {
        address.set_port(port);
        added += u32::from(deletions.add(address, 5, 0.0, Millis(0)));
    }
    assert_eq!(added, 256);
    deletions.conclude(deletions.next_due(Millis(0)).unwrap().0);
    assert!(deletions.add(address, 6, 0.0, Millis(1)));
}

/// Guards against a handover to balancers of one data centre only, which may be cut off from the store.
#[test]
fn handover_prefers_balancers_of_different_data_centres() {
    let mut schedule = ReportSchedule::default();
    for number in 1..=5 {
        let centre = if number == 1 { 2 } else { 1 };
        schedule.note_forwarded(agent(number), centre, Millis(u64::from(number)));
    }
    assert_eq!(schedule.recent_peers(3), [agent(5), agent(1), agent(4)]);
    assert_eq!(schedule.recent_peers(8).len(), 5);
}

/// Returns a table that lists an agent without an entry, whose mark names this revision.
fn marked_table(mark: u64) -> AgentTable {
    let mut table = AgentTable::default();
    let listing = MemberListing {
        absent: vec![(agent(1), mark)],
        ..listing(5, false, 0)
    };
    table.apply_members(MemberUpdate::Listed(listing), Millis(10));
    table
}

/// Guards against searches that wait for 2.5 s for an agent that is gone for good, and against a mark that
/// counts for a later registration, or for an agent that answers.
#[rstest]
#[case::marked(5, None, Some(310))]
#[case::mark_of_an_earlier_registration(4, None, None)]
#[case::agent_answers(5, Some(250), None)]
fn marked_agent_counts_as_gone_after_three_probes(
    #[case] mark: u64,
    #[case] answers: Option<u64>,
    #[case] expected: Option<u64>,
) {
    let mut table = marked_table(mark);
    let mut probes = 0;
    for now in (10..2_000).step_by(100) {
        if answers.is_some_and(|at| at <= now) {
            table.note_alive(agent(1));
        }
        let gone = table.take_absent(Millis(now));
        assert_eq!(!gone.is_empty(), expected == Some(now), "at {now}");
        assert_eq!(is_possible(&table), expected.is_none_or(|at| now < at));
        probes += table.next_probes(Millis(now)).len();
    }
    assert_eq!(probes, if expected.is_some() { 3 } else { probes });
}

/// Guards against a balancer that takes an agent as gone whose answers wait in its socket, as the process was
/// paused.
#[test]
fn paused_balancer_reads_answers_first() {
    let mut table = marked_table(5);
    for now in [10, 110, 210] {
        table.next_probes(Millis(now));
    }
    assert!(table.has_marked());
    assert!(table.take_absent(Millis(210)).is_empty());
    assert!(is_possible(&table), "nothing is known of packets after 210");
    assert_eq!(table.take_absent(Millis(5_000)), [agent(1)]);
    let registered = MemberUpdate::Registered(record(), 7);
    table.apply_members(registered, Millis(5_100));
    assert!(is_possible(&table), "a new process has registered");
    assert!(!table.has_marked());
}

/// Guards against calls to the store for an agent that is marked already.
#[test]
fn concluded_registrations_are_due_no_more() {
    let mut marks = RegistrationCleanup::new(Millis(30_000));
    marks.apply_listing([], [(agent(1), 5)]);
    assert_eq!(marks.next_due(Millis(0), || 0.0), None);
    let due = Some((agent(1), 5));
    assert_eq!(marks.next_due(Millis(30_000), || 0.0), due);
    marks.conclude(agent(1), 5);
    marks.apply_listing([], [(agent(1), 5)]);
    assert_eq!(marks.next_due(Millis(90_000), || 0.0), None);
    marks.note_registration(agent(1), 6);
    assert_eq!(marks.next_due(Millis(100_000), || 0.0), None);
    let due = Some((agent(1), 6));
    assert_eq!(marks.next_due(Millis(130_000), || 0.0), due);
}
