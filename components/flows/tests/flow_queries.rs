//! Answers of an agent to a balancer that searches for lost flows.
//!
//! An agent that lists a flow of its live server as absent leads to the reset of that flow.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::BackendState,
    request::QueriedFlow,
    FlowTracker,
    PacketKind, //
    TrackerAction,
    TrackerSettings,
};
use rstest::rstest;
use support::*;

/// Time of the query; flows live for 60 s.
const QUERIED: Millis = Millis(20_000);

/// Acknowledgement number of a flow that a server accepted with sequence number 500.
const ACKNOWLEDGED: u32 = 501;

fn reset_settings(reset_lost: bool) -> TrackerSettings {
    TrackerSettings {
        reset_lost,
        ..tracker_settings()
    }
}

/// Returns an agent that starts now, without a heartbeat of its server.
fn new_agent() -> FlowTracker {
    let mut tracker = FlowTracker::new(reset_settings(true), AGENT_STARTED_MS, Millis(0));
    tracker.set_config(Arc::new(config(1)), Millis(0));
    tracker
}

fn beat(tracker: &mut FlowTracker, started_ms: u64, sequence: u64, now: u64) {
    let mut heartbeat = heartbeat(sequence, BackendState::Ready);
    heartbeat.started_ms = started_ms;
    tracker.handle_heartbeat(heartbeat, Millis(now));
}

/// Returns an agent that has started together with its server.
fn agent_of_new_server() -> FlowTracker {
    let mut tracker = new_agent();
    beat(&mut tracker, AGENT_STARTED_MS - 100, 4, 10);
    tracker
}

fn caller_sends(tracker: &mut FlowTracker, kind: PacketKind, now: u64) -> Vec<TrackerAction> {
    let mut sent = packet(0, kind);
    sent.acknowledged = ACKNOWLEDGED;
    forward(tracker, &sent, header(&[]), Millis(now))
}

fn server_sends(tracker: &mut FlowTracker, kind: PacketKind, now: u64) {
    let mut sent = packet(0, kind);
    sent.sequence = ACKNOWLEDGED - 1;
    backend(tracker, &sent, Millis(now));
}

fn server_returns(tracker: &mut FlowTracker, kind: PacketKind, now: u64) {
    let mut sent = packet(0, kind);
    sent.returned = true;
    backend(tracker, &sent, Millis(now));
}

fn opens(tracker: &mut FlowTracker, now: u64) {
    forward(tracker, &open_packet(0), header(&[]), Millis(now));
}

fn query(tracker: &FlowTracker, acknowledged: u32) -> (Option<Vec<u32>>, bool) {
    let flow = QueriedFlow {
        key: key(0),
        acknowledged,
    };
    let mut actions = Vec::new();
    let absent = tracker.answer_query(BALANCER, &[flow], QUERIED, &mut actions);
    let announces = actions == [TrackerAction::AnnounceOwner(BALANCER, key(0))];
    assert!(announces || actions.is_empty());
    (absent, announces)
}

/// Guards against callers that wait although the server certainly doesn't hold their flow.
#[rstest]
#[case::new_server(agent_of_new_server, |_: &mut FlowTracker| {})]
#[case::oldest_server_with_a_first_heartbeat(
    new_agent,
    |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS - 290, 1, 10)
)]
#[case::server_started_beside_agent(new_agent, |tracker: &mut FlowTracker| {
    beat(tracker, 1, 900, 10);
    beat(tracker, started_at(Millis(15)), 1, 20);
})]
#[case::returned_after_a_restart_of_the_agent(new_agent, |tracker: &mut FlowTracker| {
    caller_sends(tracker, PacketKind::Data, 20);
    server_returns(tracker, PacketKind::Data, 21);
})]
#[case::reset_by_the_server(new_agent, |tracker: &mut FlowTracker| {
    caller_sends(tracker, PacketKind::Data, 20);
    server_sends(tracker, PacketKind::Reset, 21);
})]
#[case::opening_packet_redirected(agent_of_new_server, |tracker: &mut FlowTracker| {
    tracker.stop();
    forward(tracker, &open_packet(0), header(&[1]), Millis(20));
})]
#[case::accepted_by_another_server(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    let mut accept = packet(0, PacketKind::Accept);
    accept.sequence = 70_000;
    backend(tracker, &accept, Millis(21));
})]
#[case::held_before_the_run_of_the_server(agent_of_new_server, |tracker: &mut FlowTracker| {
    server_sends(tracker, PacketKind::Data, 20);
    beat(tracker, AGENT_STARTED_MS, 1, 30);
})]
fn lost_flow_is_listed(#[case] start: fn() -> FlowTracker, #[case] events: fn(&mut FlowTracker)) {
    let mut tracker = start();
    events(&mut tracker);
    assert_eq!(query(&tracker, ACKNOWLEDGED), (Some(vec![0]), false));
}

/// Guards against the reset of a flow that the server holds, or may hold.
#[rstest]
#[case::restarted_beside_a_living_server(new_agent, |tracker: &mut FlowTracker| beat(tracker, 1, 900, 10), false)]
#[case::clock_set_back(new_agent, |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS + 1, 5, 10), false)]
#[case::server_older_than_a_first_heartbeat(
    new_agent,
    |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS - 291, 1, 10),
    false
)]
#[case::restarted_in_the_first_second_of_the_server(
    new_agent,
    |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS - 900, 2, 300),
    false
)]
#[case::restarted_right_after_the_start_of_the_server(
    new_agent,
    |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS - 60, 2, 710),
    false
)]
#[case::no_heartbeat(new_agent, |_: &mut FlowTracker| {}, false)]
#[case::redirected_after_a_restart(new_agent, |tracker: &mut FlowTracker| {
    forward(tracker, &open_packet(0), header(&[1]), Millis(20));
    beat(tracker, 1, 900, 30);
}, false)]
#[case::contested_run(
    agent_of_new_server,
    |tracker: &mut FlowTracker| beat(tracker, AGENT_STARTED_MS - 2_000, 1, 20),
    false
)]
#[case::unverified(agent_of_new_server, |tracker: &mut FlowTracker| {
    let mut restarted = new_agent();
    caller_sends(&mut restarted, PacketKind::Data, 20);
    beat(&mut restarted, AGENT_STARTED_MS, 1, 30);
    *tracker = restarted;
}, false)]
#[case::opening(agent_of_new_server, |tracker: &mut FlowTracker| opens(tracker, 20), false)]
#[case::accepted(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
}, true)]
#[case::open(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    caller_sends(tracker, PacketKind::Data, 22);
}, true)]
#[case::closed(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    caller_sends(tracker, PacketKind::Data, 22);
    caller_sends(tracker, PacketKind::Reset, 23);
}, false)]
#[case::closed_long_ago(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    caller_sends(tracker, PacketKind::Data, 22);
    caller_sends(tracker, PacketKind::Reset, 23);
    tracker.expire(Millis(19_000));
}, false)]
#[case::accepted_long_ago(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    tracker.expire(Millis(19_000));
}, false)]
#[case::idle_without_a_configuration(agent_of_new_server, |tracker: &mut FlowTracker| {
    let mut unconfigured = FlowTracker::new(reset_settings(true), AGENT_STARTED_MS, Millis(0));
    beat(&mut unconfigured, AGENT_STARTED_MS, 1, 10);
    opens(&mut unconfigured, 20);
    server_sends(&mut unconfigured, PacketKind::Accept, 21);
    caller_sends(&mut unconfigured, PacketKind::Data, 22);
    unconfigured.expire(Millis(6_000));
    *tracker = unconfigured;
}, true)]
#[case::server_sends_without_an_entry(
    agent_of_new_server,
    |tracker: &mut FlowTracker| server_sends(tracker, PacketKind::Accept, 20),
    false
)]
#[case::accepted_after_a_redirect(agent_of_new_server, |tracker: &mut FlowTracker| {
    // The server returns the first copy and accepts the second one.
    forward(tracker, &open_packet(0), header(&[1]), Millis(20));
    let second = packet(0, PacketKind::Open { retransmission: 1 });
    forward(tracker, &second, header(&[1]), Millis(21));
    server_returns(tracker, PacketKind::Open { retransmission: 0 }, 22);
    server_sends(tracker, PacketKind::Accept, 23);
}, false)]
#[case::copy_returned_after_the_acceptance(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    server_returns(tracker, PacketKind::Open { retransmission: 0 }, 22);
}, false)]
#[case::accepted_twice(agent_of_new_server, |tracker: &mut FlowTracker| {
    opens(tracker, 20);
    server_sends(tracker, PacketKind::Accept, 21);
    let mut accept = packet(0, PacketKind::Accept);
    accept.sequence = 70_000;
    backend(tracker, &accept, Millis(22));
}, false)]
#[case::served_after_a_return(agent_of_new_server, |tracker: &mut FlowTracker| {
    let mut restarted = new_agent();
    caller_sends(&mut restarted, PacketKind::Data, 20);
    server_returns(&mut restarted, PacketKind::Data, 21);
    server_sends(&mut restarted, PacketKind::Data, 22);
    *tracker = restarted;
}, false)]
#[case::turned_on_late(agent_of_new_server, |tracker: &mut FlowTracker| {
    tracker.set_settings(reset_settings(false), Millis(20));
    tracker.set_settings(reset_settings(true), Millis(30));
}, false)]
fn flow_that_may_be_held_is_not_listed(
    #[case] start: fn() -> FlowTracker,
    #[case] events: fn(&mut FlowTracker),
    #[case] announces: bool,
) {
    let mut tracker = start();
    events(&mut tracker);
    assert_eq!(query(&tracker, ACKNOWLEDGED), (Some(vec![]), announces));
}

/// Guards against an agent that never knows all flows: after their longest lifetime all old ones have
/// ended.
#[rstest]
#[case::lifetime_reached(20_000, true, true)]
#[case::lifetime_not_reached(20_001, true, false)]
#[case::no_heartbeat(20_000, false, false)]
fn lifetime_of_flows_makes_the_agent_certain(
    #[case] lifetime: u64,
    #[case] has_heartbeat: bool,
    #[case] is_absent: bool,
) {
    let settings = TrackerSettings {
        flow_lifetime: Millis(lifetime),
        ..reset_settings(true)
    };
    let mut tracker = FlowTracker::new(settings, AGENT_STARTED_MS, Millis(0));
    if has_heartbeat {
        beat(&mut tracker, 1, 900, 10);
    }
    let absent = if is_absent { vec![0] } else { vec![] };
    assert_eq!(query(&tracker, ACKNOWLEDGED), (Some(absent), false));
}

/// Guards against a search that never begins, and against one for a caller that has given up.
#[rstest]
#[case::data(true, PacketKind::Data, true)]
#[case::finish(true, PacketKind::Finish, true)]
#[case::reset_of_the_caller(true, PacketKind::Reset, false)]
#[case::turned_off(false, PacketKind::Data, false)]
fn last_candidate_reports_the_flow(
    #[case] reset_lost: bool,
    #[case] kind: PacketKind,
    #[case] is_reported: bool,
) {
    let mut tracker = agent_of_new_server();
    tracker.set_settings(reset_settings(reset_lost), Millis(10));
    let flow = QueriedFlow {
        key: key(0),
        acknowledged: ACKNOWLEDGED,
    };
    let actions = caller_sends(&mut tracker, kind, 20);
    let report = TrackerAction::NotFound(BALANCER, flow);
    assert_eq!(actions.contains(&report), is_reported, "{actions:?}");
    if !reset_lost {
        assert_eq!(query(&tracker, ACKNOWLEDGED), (None, false));
    }
}
