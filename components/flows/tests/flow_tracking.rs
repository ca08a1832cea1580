//! Decisions of agents about packets.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        wait_limit_us,
        RedirectCause,
        ResetCause,
        SequenceWindow, //
    },
    process::{
        BackendHeartbeat,
        BackendState,
        ColdBudget,
        HeartbeatOutcome, //
    },
    request::ForwardHeader,
    FlowPacket,
    FlowTracker,
    PacketKind,
    TrackerAction, //
};
use rstest::rstest;
use support::{
    agent,
    backend,
    config,
    forward,
    header,
    heartbeat,
    key,
    open_flow,
    open_packet,
    packet,
    started_at,
    tracker,
    ACTIVITY_TIMEOUT,
    AGENT_STARTED_MS,
    CENTRE,
    SERVICE, //
};

/// Time for which a delivered opening packet counts as load before the caller continues the flow.
const RESERVATION: Millis = Millis(60);

fn data(caller: u16, kind: PacketKind) -> FlowPacket {
    FlowPacket {
        data_len: 100,
        ..packet(caller, kind)
    }
}

fn redirected_to(actions: &[TrackerAction]) -> Option<std::net::SocketAddrV4> {
    actions.iter().find_map(|action| match action {
        TrackerAction::Redirect { to, .. } => Some(*to),
        _ => None,
    })
}

fn delivers(actions: &[TrackerAction]) -> bool {
    actions.contains(&TrackerAction::Deliver)
}

/// Guards against new flows that wait at a busy server while another one is idle.
#[test]
fn redirects_new_flows_when_all_slots_are_in_use() {
    let mut tracker = tracker();
    for caller in 0..2 {
        assert!(delivers(&forward(
            &mut tracker,
            &open_packet(caller),
            header(&[1]),
            Millis(0)
        )));
    }
    let actions = forward(&mut tracker, &open_packet(2), header(&[1]), Millis(0));
    assert_eq!(redirected_to(&actions), Some(agent(1)));
}

/// Guards against load by callers that have abandoned their flows: after an outage, accepted flows
/// that nobody continued filled all slots for seconds.
#[test]
fn counts_a_delivered_opening_packet_as_load_only_briefly() {
    let mut tracker = tracker();
    for caller in 0..2 {
        forward(&mut tracker, &open_packet(caller), header(&[1]), Millis(0));
    }
    tracker.check_openings(RESERVATION, &mut Vec::new());
    let actions = forward(&mut tracker, &open_packet(2), header(&[1]), RESERVATION);
    assert!(delivers(&actions));
}

/// Guards against load that is no longer counted while the server still processes the request.
#[test]
fn counts_a_request_as_load_until_its_response() {
    let mut tracker = tracker();
    for caller in 0..2 {
        open_flow(&mut tracker, caller, Millis(0));
        forward(
            &mut tracker,
            &data(caller, PacketKind::Data),
            header(&[]),
            Millis(0),
        );
    }
    tracker.check_openings(RESERVATION, &mut Vec::new());
    assert_eq!(tracker.report(RESERVATION).busy, 2);
    backend(&mut tracker, &data(0, PacketKind::Data), Millis(70));
    assert_eq!(tracker.report(Millis(70)).busy, 1);
}

/// Guards against load by requests that their callers have abandoned: after an outage such requests
/// filled all slots for seconds while the servers were idle.
#[test]
fn counts_no_load_for_a_flow_that_both_ends_finished() {
    let mut tracker = tracker();
    open_flow(&mut tracker, 0, Millis(0));
    forward(
        &mut tracker,
        &data(0, PacketKind::Data),
        header(&[]),
        Millis(1),
    );
    assert_eq!(tracker.report(Millis(1)).busy, 1);
    forward(
        &mut tracker,
        &packet(0, PacketKind::Finish),
        header(&[]),
        Millis(2),
    );
    backend(&mut tracker, &packet(0, PacketKind::Finish), Millis(3));
    assert_eq!(tracker.report(Millis(3)).busy, 0);
}

/// Guards against a graceful shutdown that waits for flows which have ended.
#[test]
fn counts_a_flow_that_both_ends_finished_as_closed() {
    let mut tracker = tracker();
    open_flow(&mut tracker, 0, Millis(0));
    assert_eq!(tracker.open_flows(), 1);
    backend(&mut tracker, &packet(0, PacketKind::Finish), Millis(1));
    assert_eq!(tracker.open_flows(), 1);
    forward(
        &mut tracker,
        &packet(0, PacketKind::Finish),
        header(&[]),
        Millis(2),
    );
    assert_eq!(tracker.open_flows(), 0);
}

/// Guards against new flows at a server that is shutting down.
#[test]
fn redirects_new_flows_while_the_server_drains() {
    let mut tracker = tracker();
    open_flow(&mut tracker, 0, Millis(0));
    tracker.handle_heartbeat(heartbeat(2, BackendState::Draining), Millis(1));
    let actions = forward(&mut tracker, &open_packet(1), header(&[1]), Millis(2));
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    assert!(delivers(&forward(
        &mut tracker,
        &packet(0, PacketKind::Data),
        header(&[1]),
        Millis(3)
    )));
}

/// Guards against new flows at the server of another service that reuses the address.
#[test]
fn redirects_new_flows_when_the_server_is_inactive() {
    let mut tracker = tracker();
    let actions = forward(
        &mut tracker,
        &open_packet(1),
        header(&[1]),
        ACTIVITY_TIMEOUT,
    );
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    let returned = FlowPacket {
        returned: true,
        ..packet(7, PacketKind::Data)
    };
    backend(&mut tracker, &returned, ACTIVITY_TIMEOUT);
    let actions = forward(
        &mut tracker,
        &open_packet(2),
        header(&[1]),
        ACTIVITY_TIMEOUT,
    );
    assert_eq!(redirected_to(&actions), Some(agent(1)));
}

/// Guards against delayed heartbeats that restore an earlier state.
#[test]
fn ignores_stale_heartbeats() {
    let mut tracker = tracker();
    assert!(tracker
        .handle_heartbeat(heartbeat(3, BackendState::Draining), Millis(1))
        .is_applied());
    assert!(!tracker
        .handle_heartbeat(heartbeat(2, BackendState::Ready), Millis(2))
        .is_applied());
    assert!(!tracker.report(Millis(2)).accepts);
}

/// Guards against flows that break because their agent was restarted and has lost its state.
#[test]
fn delivers_unknown_flows_until_the_server_returns_them() {
    let mut tracker = tracker();
    let unknown = packet(3, PacketKind::Data);
    assert!(delivers(&forward(
        &mut tracker,
        &unknown,
        header(&[1]),
        Millis(0)
    )));
    let returned = FlowPacket {
        returned: true,
        ..unknown
    };
    let actions = backend(&mut tracker, &returned, Millis(1));
    assert_eq!(redirected_to(&actions), Some(agent(1)));
}

/// Guards against flows that can't open because the server of their first candidate is dead.
#[test]
fn redirects_an_opening_packet_when_the_server_does_not_answer() {
    let mut tracker = tracker();
    forward(&mut tracker, &open_packet(0), header(&[1]), Millis(0));
    let mut actions = Vec::new();
    tracker.check_openings(RESERVATION, &mut actions);
    assert_eq!(redirected_to(&actions), Some(agent(1)));
}

/// Guards against an agent that attracts all new flows because its server returns each of them and
/// so has free slots: after an outage, the agent of a server that had ended got most new flows,
/// each with an additional hop.
#[test]
fn pauses_new_flows_after_the_server_returned_one() {
    let mut tracker = tracker();
    let returned = FlowPacket {
        returned: true,
        ..open_packet(0)
    };
    forward(&mut tracker, &open_packet(0), header(&[1]), Millis(0));
    let actions = backend(&mut tracker, &returned, Millis(1));
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    assert!(!tracker.report(Millis(1)).accepts);
    let actions = forward(&mut tracker, &open_packet(1), header(&[1]), Millis(2));
    assert_eq!(redirected_to(&actions), Some(agent(1)));

    let trial = Millis(200);
    assert!(delivers(&forward(
        &mut tracker,
        &open_packet(2),
        header(&[1]),
        trial
    )));
    backend(&mut tracker, &packet(2, PacketKind::Accept), trial);
    assert!(tracker.report(trial).accepts);
}

/// Guards against a restarted server that stays idle because its earlier run returned flows.
#[test]
fn ends_the_pause_when_the_server_was_restarted() {
    let mut tracker = tracker();
    let returned = FlowPacket {
        returned: true,
        ..open_packet(0)
    };
    forward(&mut tracker, &open_packet(0), header(&[1]), Millis(0));
    backend(&mut tracker, &returned, Millis(1));
    let mut restarted = heartbeat(1, BackendState::Ready);
    restarted.started_ms = started_at(Millis(2));
    assert!(tracker.handle_heartbeat(restarted, Millis(2)).is_applied());
    assert!(tracker.report(Millis(2)).accepts);
}

/// Guards against retransmissions that follow earlier copies of their opening packet in a loop
/// until they are dropped: after an outage, such flows were neither accepted nor refused.
#[test]
fn stops_a_retransmission_from_following_a_loop() {
    let mut tracker = tracker();
    for caller in 0..2 {
        forward(&mut tracker, &open_packet(caller), header(&[1]), Millis(0));
    }
    forward(&mut tracker, &open_packet(2), header(&[1]), Millis(0));
    let retransmission = packet(2, PacketKind::Open { retransmission: 1 });
    let mut looped = header(&[]);
    looped.near = 1;
    let followed = forward(&mut tracker, &retransmission, looped.clone(), Millis(1));
    assert_eq!(redirected_to(&followed), Some(agent(1)));
    looped.hops = 8;
    let delivered = forward(&mut tracker, &retransmission, looped, Millis(1));
    assert!(delivers(&delivered));
}

/// Guards against the reset of a flow that a server may have accepted.
#[test]
fn refuses_only_flows_that_no_server_got() {
    let mut tracker = tracker();
    tracker.stop();
    let refused = forward(&mut tracker, &open_packet(0), header(&[]), Millis(0));
    assert!(matches!(
        refused[..],
        [TrackerAction::Refuse(_, RedirectCause::Stopping)]
    ));
    let mut delivered = header(&[]);
    delivered.delivered = true;
    let dropped = forward(&mut tracker, &open_packet(1), delivered, Millis(0));
    assert!(matches!(
        dropped[..],
        [TrackerAction::Drop(_, RedirectCause::Stopping)]
    ));
}

/// Guards against the reset of a flow that a later copy of its opening packet has opened, when the server
/// returns the first one late.
#[rstest]
#[case::before_the_first_retransmission(0, Millis(100), true)]
#[case::after_the_first_retransmission(0, Millis(200), false)]
#[case::of_a_retransmission(1, Millis(100), false)]
fn a_returned_opening_packet_is_refused_only_while_it_is_the_only_copy(
    #[case] retransmission: u8,
    #[case] returned_at: Millis,
    #[case] is_refused: bool,
) {
    let mut tracker = tracker();
    let opening = packet(1, PacketKind::Open { retransmission });
    forward(&mut tracker, &opening, header(&[]), Millis(0));
    let returned = FlowPacket {
        returned: true,
        ..opening
    };
    let actions = backend(&mut tracker, &returned, returned_at);
    let refused = |action: &TrackerAction| matches!(action, TrackerAction::Refuse(..));
    assert_eq!(actions.iter().any(refused), is_refused, "{actions:?}");
}

/// Guards against the reset of a flow that a later copy of its opening packet has opened, by an agent that
/// was paused while the first one waited in its socket.
#[rstest]
#[case::just_arrived(Millis(900), true)]
#[case::may_have_waited(Millis(850), false)]
fn an_opening_packet_that_has_waited_is_not_refused(
    #[case] arrived: Millis,
    #[case] is_refused: bool,
) {
    let mut tracker = tracker();
    tracker.stop();
    let mut actions = Vec::new();
    tracker.handle_late_forwarded(
        &open_packet(1),
        &Bytes::from_static(b"packet"),
        header(&[]),
        arrived,
        Millis(1_000),
        &mut actions,
    );
    let refused = |action: &TrackerAction| matches!(action, TrackerAction::Refuse(..));
    assert_eq!(actions.iter().any(refused), is_refused, "{actions:?}");
}

/// Guards against packets of a flow that reach other servers while its own agent is down: an agent that knows
/// all flows of its server delivers none of another flow.
#[rstest]
#[case::restarted_beside_its_server(AGENT_STARTED_MS - 5_000, None, Millis(100), true)]
#[case::started_with_its_server(AGENT_STARTED_MS - 200, None, Millis(100), false)]
#[case::restarted_in_the_first_second(AGENT_STARTED_MS - 400, None, Millis(100), true)]
#[case::server_restarted_beside_it(1, Some(AGENT_STARTED_MS), Millis(100), false)]
#[case::has_run_for_the_lifetime_of_a_flow(1, None, Millis(60_000), false)]
fn an_unknown_flow_is_delivered_only_if_the_server_may_hold_it(
    #[case] server_started_ms: u64,
    #[case] restarted_ms: Option<u64>,
    #[case] now: Millis,
    #[case] is_delivered: bool,
) {
    let mut tracker = support::new_tracker(20.0);
    for started_ms in [Some(server_started_ms), restarted_ms]
        .into_iter()
        .flatten()
    {
        let first = heartbeat_of("i-1", started_ms, 1);
        assert!(tracker.handle_heartbeat(first, Millis(0)).is_applied());
    }
    let actions = forward(
        &mut tracker,
        &packet(1, PacketKind::Data),
        header(&[1]),
        now,
    );
    assert_eq!(delivers(&actions), is_delivered, "{actions:?}");
    assert_eq!(redirected_to(&actions).is_some(), !is_delivered);
}

/// Guards against packets that stray to other servers while the agent of their own one is stopped: the other agents had
/// started with their servers, but lost the first heartbeats (seed 3015 of the soak). Resets need more.
#[test]
fn an_agent_that_started_with_its_server_delivers_no_unknown_flow() {
    let mut tracker = support::new_tracker(20.0);
    let second = heartbeat_of("i-1", AGENT_STARTED_MS - 200, 2);
    assert!(tracker.handle_heartbeat(second, Millis(500)).is_applied());
    let unknown = packet(1, PacketKind::Data);
    let actions = forward(&mut tracker, &unknown, header(&[1]), Millis(600));
    assert_eq!(redirected_to(&actions), Some(agent(1)), "{actions:?}");
    assert!(!tracker.knows_all_flows(Millis(600)));
}

/// Guards against lost packets when several of a flow were delivered before the server returned the
/// first one.
#[test]
fn redirects_each_packet_that_the_server_returns() {
    let mut tracker = tracker();
    let unknown = packet(3, PacketKind::Data);
    let returned = FlowPacket {
        returned: true,
        ..unknown
    };
    for _ in 0..2 {
        assert!(delivers(&forward(
            &mut tracker,
            &unknown,
            header(&[1]),
            Millis(0)
        )));
    }
    for _ in 0..2 {
        let actions = backend(&mut tracker, &returned, Millis(1));
        assert_eq!(redirected_to(&actions), Some(agent(1)));
    }
    let actions = forward(&mut tracker, &unknown, header(&[2]), Millis(2));
    assert_eq!(redirected_to(&actions), Some(agent(2)));
}

/// Guards against a server that fails requests although its health check succeeds.
#[test]
fn reports_a_server_that_fails_its_requests_until_it_recovers() {
    let mut tracker = tracker();
    for step in 0..6 {
        tracker.record_response(true, Millis(step));
    }
    assert!(tracker.report(Millis(6)).failure_percent >= 50);
    assert!(tracker.report(Millis(8_000)).failure_percent < 10);
}

/// Rate of requests that a cold server of these tests takes, and the new flows per window that follow
/// from it.
const COLD_RATE: f64 = 10.0;
const COLD_LIMIT: usize = 19;

/// The same before the configuration is known: the slack alone.
const UNKNOWN_LIMIT: usize = 4;

/// Window in which the new flows of a cold server are counted.
const COLD_WINDOW: Millis = Millis(1_100);

/// Offers 100 new flows at once; returns how many are accepted.
fn accepted_flows(tracker: &mut FlowTracker, first: u16, now: Millis) -> usize {
    let flows = first..first + 100;
    let accepted = flows.filter(|caller| {
        let mut assigned = header(&[]);
        assigned.assigned = true;
        let actions = forward(tracker, &open_packet(*caller), assigned, now);
        let is_accepted = delivers(&actions);
        tracker.check_openings(now.plus(RESERVATION), &mut Vec::new());
        is_accepted
    });
    accepted.count()
}

fn cold_heartbeat(sequence: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        cold_remaining: Millis(5_000),
        ..heartbeat(sequence, BackendState::Ready)
    }
}

/// Guards against more flows than a cold server can handle before a heartbeat shows that it is
/// cold: after a restart of the agent, and after a restart of the server under the same identity.
#[test]
fn limits_new_flows_of_a_server_that_may_be_cold() {
    let mut restarted = support::new_tracker(COLD_RATE);
    assert_eq!(accepted_flows(&mut restarted, 0, COLD_WINDOW), 0);
    let outcome = restarted.handle_heartbeat(cold_heartbeat(1), COLD_WINDOW);
    assert!(outcome.is_applied());
    assert_eq!(accepted_flows(&mut restarted, 0, COLD_WINDOW), COLD_LIMIT);

    let start = Millis(2_000);
    let mut tracker = support::new_tracker(COLD_RATE);
    tracker.handle_heartbeat(heartbeat(1, BackendState::Ready), start);
    open_flow(&mut tracker, 1_000, start);
    let returned = FlowPacket {
        returned: true,
        ..packet(1_000, PacketKind::Data)
    };
    backend(&mut tracker, &returned, start.plus(Millis(1)));
    assert!(accepted_flows(&mut tracker, 0, start.plus(Millis(2))) <= COLD_LIMIT);
    let later = start.plus(Millis(200));
    assert_eq!(accepted_flows(&mut tracker, 200, later), 0);
}

/// Guards against the full rate at a cold server before the configuration is known, which tells its limit, and against a
/// limit of a warm one.
#[test]
fn limits_new_flows_of_a_cold_server_without_a_configuration() {
    let mut cold = support::start_tracker();
    cold.handle_heartbeat(cold_heartbeat(1), Millis(0));
    assert_eq!(accepted_flows(&mut cold, 0, Millis(100)), 0);
    let later = COLD_WINDOW.plus(Millis(100));
    assert_eq!(accepted_flows(&mut cold, 100, later), UNKNOWN_LIMIT);
    cold.set_config(Arc::new(config(1)), later);
    assert!(accepted_flows(&mut cold, 200, later.plus(Millis(100))) > COLD_LIMIT);
    let mut warm = support::start_tracker();
    warm.handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(0));
    assert!(accepted_flows(&mut warm, 0, Millis(100)) > COLD_LIMIT);
}

/// Guards against idle flows that are forgotten before the configuration tells how long they may be idle.
#[test]
fn keeps_idle_flows_without_a_configuration() {
    let mut tracker = support::start_tracker();
    tracker.handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(0));
    open_flow(&mut tracker, 1, Millis(100));
    tracker.expire(Millis(14_000));
    assert_eq!(tracker.open_flows(), 1);
    tracker.expire(Millis(61_000));
    assert_eq!(tracker.open_flows(), 0);
}

/// Guards against the full rate in the last millisecond of a cold period, which a report that rounds the
/// remaining time down doesn't cover.
#[test]
fn a_server_counts_as_cold_a_little_longer_than_reported() {
    let mut tracker = support::new_tracker(COLD_RATE);
    let (start, remaining) = (Millis(2_000), Millis(1_000));
    let cold = BackendHeartbeat {
        cold_remaining: remaining,
        ..heartbeat(1, BackendState::Ready)
    };
    tracker.handle_heartbeat(cold, start);
    let reported_end = start.plus(remaining);
    let accepted = accepted_flows(&mut tracker, 0, reported_end.plus(Millis(1)));
    assert_eq!(accepted, COLD_LIMIT);
    let later = reported_end.plus(Millis(100));
    assert!(accepted_flows(&mut tracker, 100, later) > COLD_LIMIT);
}

/// Guards against a limit that overflows for a route with a very large objective.
#[test]
fn a_very_large_objective_has_a_large_wait_limit() {
    let mut route = config(1).routes()[0].clone();
    route.latency_objective = Millis(u64::MAX);
    assert_eq!(wait_limit_us(&route, 0), u32::MAX);
}

/// Guards against a warm server that is taken for cold because it reported right after the start of its
/// agent, when the time of a report is only known to be later than one shortly before.
#[test]
fn the_first_report_tells_that_the_server_is_warm() {
    let mut budget = ColdBudget::new(Millis(100));
    budget.set_remaining(Millis(0), Millis(90), Millis(150));
    assert!(!budget.is_cold(Millis(150)));
}

/// Guards against a cold server that gets its limit of new flows twice in a second, before and after a
/// restart of its agent, which doesn't know how many the process before has delivered.
#[test]
fn a_restarted_agent_counts_the_flows_before_its_start_against_the_cold_limit() {
    let mut tracker = support::new_tracker(COLD_RATE);
    tracker.handle_heartbeat(cold_heartbeat(1), Millis(0));
    assert_eq!(accepted_flows(&mut tracker, 0, Millis(100)), 0);
    assert_eq!(accepted_flows(&mut tracker, 100, COLD_WINDOW), COLD_LIMIT);
    let mut warm = support::new_tracker(COLD_RATE);
    warm.handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(0));
    assert!(accepted_flows(&mut warm, 0, Millis(100)) > COLD_LIMIT);
}

/// Guards against the full rate at a server that has turned cold in an evacuated data centre, between
/// its return and the next heartbeat, whether the agent or a balancer learns of the return first.
#[rstest]
#[case::agent_is_first(true)]
#[case::balancer_is_first(false)]
fn limits_new_flows_after_an_evacuation(#[case] agent_is_first: bool) {
    let rate = Some(COLD_RATE);
    let mut tracker = support::new_tracker(COLD_RATE);
    let mut evacuated = support::config_with(2, rate);
    evacuated.revision = 2;
    evacuated.set_evacuated_centres([CENTRE.into()]);
    tracker.set_config(Arc::new(evacuated), Millis(1_000));
    tracker.handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(5_000));
    let (end, heartbeat_due) = (Millis(5_100), Millis(5_700));
    if agent_is_first {
        let mut returned = support::config_with(2, rate);
        returned.revision = 3;
        tracker.set_config(Arc::new(returned), end);
    }
    let newer = ForwardHeader {
        revision: 3,
        assigned: true,
        ..header(&[])
    };
    let mut accepted = 0;
    for caller in 0..100 {
        let actions = forward(&mut tracker, &open_packet(caller), newer.clone(), end);
        accepted += usize::from(delivers(&actions));
        tracker.check_openings(end.plus(RESERVATION), &mut Vec::new());
    }
    assert_eq!(accepted, COLD_LIMIT);

    let sent_before = heartbeat(2, BackendState::Ready);
    tracker.handle_late_heartbeat(sent_before, Millis(5_050), Millis(5_150));
    let actions = forward(
        &mut tracker,
        &open_packet(200),
        newer.clone(),
        Millis(5_200),
    );
    assert!(!delivers(&actions), "the report is older than the return");
    tracker.handle_heartbeat(heartbeat(3, BackendState::Ready), heartbeat_due);
    if agent_is_first {
        let actions = forward(&mut tracker, &open_packet(300), newer, heartbeat_due);
        assert!(delivers(&actions), "the server is warm");
    }
}

/// Opens a flow at the server and has it answer a request.
fn serve_flow(tracker: &mut FlowTracker, caller: u16, now: Millis) {
    open_flow(tracker, caller, now);
    let answer = FlowPacket {
        data_len: 100,
        ..packet(caller, PacketKind::Data)
    };
    backend(tracker, &answer, now);
    let acknowledgement = FlowPacket {
        acknowledged: 100,
        ..packet(caller, PacketKind::Data)
    };
    forward(tracker, &acknowledgement, header(&[]), now);
}

/// Guards against an agent that takes the heartbeat of a server on another VM for a new run of its own
/// one: it would reset that server's flows, or count the own run as contested.
#[test]
fn a_heartbeat_of_another_server_changes_nothing() {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    let foreign = BackendHeartbeat {
        id: "i-9".into(),
        address: agent(9),
        started_ms: 9,
        service: "other".into(),
        ..heartbeat(1, BackendState::Draining)
    };
    let outcome = tracker.handle_heartbeat(foreign, Millis(100));
    assert_eq!(outcome, HeartbeatOutcome::Foreign);
    let mut actions = Vec::new();
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, []);
    assert!(tracker.report(Millis(100)).accepts);
    assert_eq!(tracker.service(), SERVICE);
}

/// Guards against a heartbeat of another service that resets the flows of the live server, or stops new ones.
#[rstest]
#[case::of_a_later_run(9, BackendState::Ready)]
#[case::of_an_earlier_run(0, BackendState::Ready)]
#[case::that_leaves(9, BackendState::Draining)]
fn a_heartbeat_of_another_service_changes_nothing(
    #[case] started_ms: u64,
    #[case] state: BackendState,
) {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    let other = BackendHeartbeat {
        id: "i-9".into(),
        started_ms,
        service: "other".into(),
        ..heartbeat(7, state)
    };
    for at in [100, 1_000] {
        let outcome = tracker.handle_heartbeat(other.clone(), Millis(at));
        assert_eq!(outcome, HeartbeatOutcome::OtherService);
    }
    let mut actions = Vec::new();
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, []);
    assert!(tracker.report(Millis(1_000)).accepts);
    assert_eq!(tracker.service(), SERVICE);
}

/// Guards against the reset of flows of a live server by a heartbeat of an earlier run that arrives late: as the first one
/// after a restart of the agent, or with a later start, because the clock was set back between the two runs.
#[rstest]
#[case::first_after_a_restart(AGENT_STARTED_MS - 9_000, AGENT_STARTED_MS - 3_000)]
#[case::later_by_the_clock(AGENT_STARTED_MS - 3_000, AGENT_STARTED_MS - 9_000)]
fn a_late_heartbeat_of_an_earlier_run_resets_no_flow(#[case] late_ms: u64, #[case] live_ms: u64) {
    let mut tracker = support::new_tracker(20.0);
    let live = |sequence| heartbeat_of("i-2", live_ms, sequence);
    let late = heartbeat_of("i-1", late_ms, 40);
    let beats = if late_ms < live_ms {
        vec![(late, 500), (live(3), 900)]
    } else {
        vec![(live(2), 300), (live(3), 700), (late, 900)]
    };
    let unknown = packet(1, PacketKind::Data);
    forward(&mut tracker, &unknown, header(&[1]), Millis(10));
    backend(&mut tracker, &unknown, Millis(20));
    let mut actions = Vec::new();
    for (beat, at) in beats {
        tracker.handle_heartbeat(beat, Millis(at));
        tracker.reset_lost_flows(&mut actions);
    }
    tracker.handle_heartbeat(live(4), Millis(1_700));
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, []);
    assert!(tracker.report(Millis(1_700)).accepts);
    assert!(!tracker.knows_all_flows(Millis(1_700)));
    let other = packet(2, PacketKind::Data);
    let actions = forward(&mut tracker, &other, header(&[1]), Millis(1_700));
    assert!(delivers(&actions), "the server may hold it: {actions:?}");
}

/// Guards against a live server that gets no new flows for the rest of its life, because the deregistration of its former
/// run, which had the same id, arrived late. What a server sent before it deregistered must not bring it back.
#[rstest]
#[case::live_server(&[(3, 1_200), (4, 2_400), (5, 3_600)], true)]
#[case::late_heartbeats(&[(3, 2_400), (4, 2_450)], false)]
#[case::early_heartbeats(&[(3, 900), (4, 1_700)], false)]
fn a_server_that_goes_on_after_a_deregistration_accepts_flows(
    #[case] beats: &[(u64, u64)],
    #[case] is_live: bool,
) {
    let mut tracker = tracker();
    tracker.handle_heartbeat(heartbeat(2, BackendState::Ready), Millis(10));
    assert!(tracker.deregister("i-1", Millis(20)));
    for (sequence, at) in beats {
        assert!(!tracker.report(Millis(*at)).accepts);
        tracker.handle_heartbeat(heartbeat(*sequence, BackendState::Ready), Millis(*at));
    }
    let (_, last) = beats[beats.len() - 1];
    assert_eq!(tracker.report(Millis(last)).accepts, is_live);
    assert_eq!(tracker.is_leaving(), !is_live);
}

/// Guards against flows of the next service at an address that reach the server of the former one, because the settings
/// changed before it had ended.
#[test]
fn a_server_accepts_flows_of_a_new_service_once_it_names_that_service() {
    let mut tracker = tracker();
    let mut settings = support::tracker_settings();
    settings.service = "other".into();
    tracker.set_settings(settings, Millis(100));
    assert!(!tracker.report(Millis(100)).accepts);
    let former = tracker.handle_heartbeat(heartbeat(2, BackendState::Ready), Millis(200));
    assert_eq!(former, HeartbeatOutcome::OtherService);
    let mut next = heartbeat_of("i-2", started_at(Millis(300)), 1);
    next.service = "other".into();
    assert!(tracker.handle_heartbeat(next, Millis(300)).is_applied());
    assert!(tracker.report(Millis(300)).accepts);
}

/// Guards against callers that wait until their deadline for a server that was restarted: their
/// next request would go into a flow that nobody holds.
#[test]
fn resets_flows_that_a_restarted_server_held() {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    let mut actions = Vec::new();
    assert!(tracker
        .handle_heartbeat(heartbeat(2, BackendState::Ready), Millis(500))
        .is_applied());
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, [], "the server still runs");
    let restarted = BackendHeartbeat {
        started_ms: started_at(Millis(950)),
        ..heartbeat(1, BackendState::Ready)
    };
    assert!(tracker
        .handle_heartbeat(restarted, Millis(1_000))
        .is_applied());
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(
        actions,
        [TrackerAction::Reset(key(1), 100, ResetCause::Restarted)]
    );
    assert_eq!(tracker.report(Millis(1_000)).busy, 0);
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions.len(), 1, "a flow is reset once");
}

/// Guards against a search for a flow that its owner has lost, and against a reset of a flow that
/// another server may hold.
#[rstest]
#[case::served_here(true)]
#[case::only_accepted_here(false)]
fn resets_a_returned_flow_only_if_the_server_has_served_it(#[case] is_served: bool) {
    let mut tracker = tracker();
    if is_served {
        serve_flow(&mut tracker, 1, Millis(0));
    } else {
        open_flow(&mut tracker, 1, Millis(0));
    }
    let request = FlowPacket {
        acknowledged: if is_served { 100 } else { 1 },
        ..packet(1, PacketKind::Data)
    };
    forward(&mut tracker, &request, header(&[1]), Millis(100));
    let returned = FlowPacket {
        returned: true,
        ..request
    };
    let actions = backend(&mut tracker, &returned, Millis(101));
    if is_served {
        assert_eq!(
            actions,
            [TrackerAction::Reset(key(1), 100, ResetCause::Returned)]
        );
    } else {
        assert!(matches!(&actions[..], [TrackerAction::Redirect { to, .. }] if *to == agent(1)));
    }
}

/// Guards against the reset of a flow by a server that got a copy of its opening packet and never held
/// it, while another server does.
#[rstest]
#[case::holds_the_flow(true, true)]
#[case::only_accepted_it(true, false)]
#[case::is_unknown(false, false)]
fn a_reset_of_the_server_reaches_the_caller_only_if_it_holds_the_flow(
    #[case] is_accepted: bool,
    #[case] is_opened: bool,
) {
    let mut tracker = tracker();
    if is_accepted {
        forward(&mut tracker, &open_packet(1), header(&[]), Millis(0));
        backend(&mut tracker, &packet(1, PacketKind::Accept), Millis(1));
    }
    if is_opened {
        forward(
            &mut tracker,
            &packet(1, PacketKind::Data),
            header(&[]),
            Millis(2),
        );
    }
    let actions = backend(&mut tracker, &packet(1, PacketKind::Reset), Millis(3));
    let is_passed_on = actions.contains(&TrackerAction::ToCaller);
    assert_eq!(is_passed_on, is_opened, "{actions:?}");
}

/// Guards against the reset of a flow that another server holds, by the server of an earlier flow of the
/// same caller's port: it returns the packets, which it doesn't know.
#[test]
fn a_later_flow_of_the_same_port_is_not_reset_by_the_server_of_the_earlier_one() {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    let request = FlowPacket {
        acknowledged: 0x4000_0000,
        ..data(1, PacketKind::Data)
    };
    let actions = forward(&mut tracker, &request, header(&[1]), Millis(500));
    assert_eq!(redirected_to(&actions), Some(agent(1)), "{actions:?}");
    let own = FlowPacket {
        acknowledged: 100,
        ..data(1, PacketKind::Data)
    };
    let actions = forward(&mut tracker, &own, header(&[1]), Millis(600));
    assert!(delivers(&actions), "{actions:?}");
}

/// Guards against a flow that is lost once its server has sent more bytes than there are sequence numbers.
#[test]
fn a_flow_outlives_its_sequence_numbers() {
    let first = 0xffff_0000_u32;
    let mut window = SequenceWindow::new(first);
    let mut sequence = first.wrapping_add(1);
    for _ in 0..(6_u64 << 30) / 60_000 {
        window.extend(sequence, 60_000);
        sequence = sequence.wrapping_add(60_000);
        assert!(window.is_acknowledged_by(sequence));
        assert!(window.is_acknowledged_by(sequence.wrapping_sub(60_000)));
        assert!(!window.is_acknowledged_by(sequence.wrapping_add(100_000)));
    }
}

/// Guards against an abort that reaches a server which only got a copy of the opening packet, in place of the
/// one that holds the flow.
#[test]
fn an_abort_of_the_caller_passes_a_server_that_does_not_hold_the_flow() {
    let mut tracker = tracker();
    forward(&mut tracker, &open_packet(1), header(&[]), Millis(0));
    backend(&mut tracker, &packet(1, PacketKind::Accept), Millis(1));
    let abort = FlowPacket {
        acknowledged: 0x4000_0000,
        ..packet(1, PacketKind::Reset)
    };
    let actions = forward(&mut tracker, &abort, header(&[1]), Millis(2));
    assert_eq!(redirected_to(&actions), Some(agent(1)), "{actions:?}");
}

/// Guards against lost packets of a flow whose caller's port had another flow at the same server before.
#[test]
fn a_later_flow_of_the_same_port_is_served_by_the_same_server() {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    forward(&mut tracker, &open_packet(1), header(&[1]), Millis(500));
    let accepted = FlowPacket {
        sequence: 0x4000_0000,
        ..packet(1, PacketKind::Accept)
    };
    backend(&mut tracker, &accepted, Millis(501));
    let request = FlowPacket {
        acknowledged: 0x4000_0001,
        ..data(1, PacketKind::Data)
    };
    let actions = forward(&mut tracker, &request, header(&[1]), Millis(502));
    assert!(delivers(&actions), "{actions:?}");
}

/// Guards against idle flows that outlive their server: it leaves without ending them, and the
/// caller's next request is lost. Until the server has ended, its flows are left to it, whether or not
/// it has deregistered.
#[rstest]
#[case::server_has_left(true, true)]
#[case::server_has_crashed(false, true)]
#[case::server_is_about_to_end(true, false)]
#[case::server_still_runs(false, false)]
fn resets_open_flows_when_its_server_has_ended(
    #[case] has_deregistered: bool,
    #[case] has_ended: bool,
) {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    if has_deregistered {
        assert!(tracker.deregister("i-1", Millis(0)));
    }
    tracker.stop();
    if has_ended {
        tracker.note_server_ended();
    }
    let mut actions = Vec::new();
    tracker.reset_lost_flows(&mut actions);
    let reset = TrackerAction::Reset(key(1), 100, ResetCause::Ended);
    assert_eq!(actions, if has_ended { vec![reset] } else { vec![] });
    assert_eq!(tracker.open_flows(), usize::from(!has_ended));
}

/// Guards against flows that are refused because the agent learns of a change after the balancer:
/// the newer configuration of the two decides.
#[rstest]
#[case::balancer_is_newer(3, true)]
#[case::both_are_equal(2, false)]
#[case::agent_is_newer(1, false)]
fn newer_configuration_decides(#[case] revision: u64, #[case] accepts: bool) {
    let mut tracker = tracker();
    let mut evacuated = config(2);
    evacuated.revision = 2;
    evacuated.set_evacuated_centres([CENTRE.into()]);
    tracker.set_config(Arc::new(evacuated), Millis(0));
    let opening = ForwardHeader {
        revision,
        ..header(&[1])
    };
    let actions = forward(&mut tracker, &open_packet(1), opening, Millis(0));
    assert_eq!(delivers(&actions), accepts);
    assert!(!tracker.report(Millis(0)).accepts);
}

/// Guards against flows that are cut by a planned stop because they were accepted right before it:
/// the agent waits for them and delivers their packets.
#[test]
fn a_flow_accepted_before_the_stop_is_served() {
    let mut tracker = tracker();
    forward(&mut tracker, &open_packet(1), header(&[]), Millis(0));
    tracker.stop();
    assert_eq!(tracker.open_flows(), 1);
    backend(&mut tracker, &packet(1, PacketKind::Accept), Millis(1));
    let request = data(1, PacketKind::Data);
    assert!(delivers(&forward(
        &mut tracker,
        &request,
        header(&[1]),
        Millis(2)
    )));
    let actions = forward(&mut tracker, &open_packet(2), header(&[1]), Millis(2));
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    backend(&mut tracker, &data(1, PacketKind::Finish), Millis(3));
    assert_eq!(tracker.open_flows(), 1);
    forward(
        &mut tracker,
        &packet(1, PacketKind::Finish),
        header(&[1]),
        Millis(4),
    );
    assert_eq!(tracker.open_flows(), 0);
}

/// Guards against new flows at a server of which an agent, paused for seconds, doesn't know whether
/// it still runs: what arrived during the pause is handled by the time of the wake-up.
#[rstest]
#[case::two_seconds(2_000)]
#[case::a_minute(60_000)]
fn a_paused_agent_accepts_no_flow_before_its_server_shows_activity(#[case] pause_ms: u64) {
    let mut tracker = tracker();
    let awake = Millis(pause_ms);
    let actions = forward(&mut tracker, &open_packet(1), header(&[1]), awake);
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    assert!(tracker
        .handle_heartbeat(heartbeat(2, BackendState::Ready), awake)
        .is_applied());
    let actions = forward(&mut tracker, &open_packet(2), header(&[1]), awake);
    assert!(delivers(&actions));
}

/// Guards against new flows at a server of which a restarted agent has heard nothing: the server may
/// have ended before the restart, and another service may reuse its address. Packets that the server
/// sends or returns don't tell its service.
#[test]
fn a_restarted_agent_accepts_no_flow_before_the_first_heartbeat() {
    let mut tracker = support::new_tracker(10.0);
    assert!(!tracker.report(Millis(0)).accepts);
    let actions = forward(&mut tracker, &open_packet(1), header(&[1]), Millis(0));
    assert_eq!(redirected_to(&actions), Some(agent(1)));

    let unknown = packet(2, PacketKind::Data);
    assert!(delivers(&forward(
        &mut tracker,
        &unknown,
        header(&[1]),
        Millis(10)
    )));
    backend(&mut tracker, &data(2, PacketKind::Data), Millis(11));
    let actions = forward(&mut tracker, &open_packet(3), header(&[1]), Millis(12));
    assert_eq!(redirected_to(&actions), Some(agent(1)));

    assert!(tracker
        .handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(700))
        .is_applied());
    let actions = forward(&mut tracker, &open_packet(4), header(&[1]), Millis(701));
    assert!(delivers(&actions));
}

/// Returns a heartbeat of another run of the server than the first one of [`tracker`].
fn heartbeat_of(id: &str, started_ms: u64, sequence: u64) -> BackendHeartbeat {
    BackendHeartbeat {
        id: id.into(),
        started_ms,
        ..heartbeat(sequence, BackendState::Ready)
    }
}

/// Guards against new flows at a leaving server whose heartbeats are ignored: the time of day was set
/// back between two starts of the server, so that the live run has the earlier start time.
#[rstest]
#[case::other_identity("i-2")]
#[case::same_identity("i-1")]
fn a_run_with_an_earlier_start_time_takes_the_place_of_a_silent_one(#[case] id: &str) {
    let mut tracker = support::new_tracker(10.0);
    let accepts = |tracker: &mut FlowTracker, at| tracker.report(Millis(at)).accepts;
    tracker.handle_heartbeat(heartbeat_of("i-1", 5_000, 1), Millis(0));
    tracker.handle_heartbeat(heartbeat_of("i-1", 5_000, 2), Millis(770));

    serve_flow(&mut tracker, 1, Millis(1_390));
    tracker.handle_heartbeat(heartbeat_of(id, 3_000, 1), Millis(1_400));
    assert!(
        !accepts(&mut tracker, 1_400),
        "either run may be the live one"
    );
    tracker.handle_heartbeat(heartbeat_of(id, 3_000, 2), Millis(2_170));
    assert!(!accepts(&mut tracker, 2_170));
    tracker.handle_heartbeat(heartbeat_of(id, 3_000, 3), Millis(2_940));
    assert!(accepts(&mut tracker, 2_940));
    let mut actions = Vec::new();
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, [], "a flow of the live run isn't lost");

    let draining = BackendHeartbeat {
        state: BackendState::Draining,
        ..heartbeat_of(id, 3_000, 4)
    };
    tracker.handle_heartbeat(draining, Millis(3_000));
    assert!(tracker.is_leaving());
    let opening = forward(&mut tracker, &open_packet(9), header(&[1]), Millis(3_001));
    assert_eq!(redirected_to(&opening), Some(agent(1)));
    tracker.handle_heartbeat(heartbeat_of("i-1", 5_000, 3), Millis(3_100));
    assert!(
        !accepts(&mut tracker, 3_100),
        "a late heartbeat of the run that ended"
    );
}

/// Guards against a server out of use, or taken for another one, after late heartbeats of a run that
/// ended before.
#[test]
fn late_heartbeats_of_an_earlier_run_pause_new_flows_until_the_next_heartbeat() {
    let mut tracker = support::new_tracker(10.0);
    tracker.handle_heartbeat(heartbeat_of("i-2", 5_000, 1), Millis(0));
    serve_flow(&mut tracker, 1, Millis(1));
    for (sequence, at) in [(7, 900), (8, 901)] {
        let late = heartbeat_of("i-1", 3_000, sequence);
        tracker.handle_heartbeat(late, Millis(at));
        assert!(!tracker.report(Millis(at)).accepts);
    }
    tracker.handle_heartbeat(heartbeat_of("i-2", 5_000, 2), Millis(1_000));
    assert!(tracker.report(Millis(1_000)).accepts);
    let mut actions = Vec::new();
    tracker.reset_lost_flows(&mut actions);
    assert_eq!(actions, []);
}

/// Guards against new flows at a server that ended while its agent was paused: what it had sent before
/// waited in the sockets, and shows no activity at the time of the wake-up.
#[test]
fn what_waited_during_a_pause_shows_no_activity_at_its_end() {
    let mut tracker = tracker();
    forward(&mut tracker, &open_packet(1), header(&[]), Millis(10));
    let (paused, awake) = (Millis(100), Millis(3_000));
    tracker.note_activity(paused);
    let waiting = heartbeat(2, BackendState::Ready);
    let outcome = tracker.handle_late_heartbeat(waiting, paused, awake);
    assert!(outcome.is_applied());
    assert!(!tracker.report(awake).accepts);
    let actions = forward(&mut tracker, &open_packet(2), header(&[1]), awake);
    assert_eq!(redirected_to(&actions), Some(agent(1)));
    let copy = packet(1, PacketKind::Open { retransmission: 1 });
    let actions = forward(&mut tracker, &copy, header(&[]), awake);
    assert!(!delivers(&actions), "a copy of an accepted opening packet");

    let fresh = heartbeat(3, BackendState::Ready);
    tracker.handle_late_heartbeat(fresh, awake, awake.plus(Millis(200)));
    assert!(tracker.report(awake.plus(Millis(200))).accepts);
}

/// Guards against a new flow from a caller's port that is reset because the server, which is full,
/// returns its opening packet while the entry of the former flow remains.
#[test]
fn returned_opening_packet_is_redirected_although_a_former_flow_is_known() {
    let mut tracker = tracker();
    serve_flow(&mut tracker, 1, Millis(0));
    forward(&mut tracker, &open_packet(1), header(&[1]), Millis(100));
    let returned = FlowPacket {
        returned: true,
        ..open_packet(1)
    };
    let actions = backend(&mut tracker, &returned, Millis(101));
    let reset = |action: &TrackerAction| matches!(action, TrackerAction::Reset(..));
    assert!(!actions.iter().any(reset), "{actions:?}");
}
