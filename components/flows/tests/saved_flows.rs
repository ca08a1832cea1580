//! Flows that an agent saves, and their resets after a loss of power.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        FlowSaver,
        FormerOutcome,
        ResetCause,
        SavedFlow,
        SavedFlows,
        MAX_SAVED_FLOWS, //
    },
    process::{
        BackendState,
        HeartbeatOutcome,
        ServerRun, //
    },
    FlowPacket,
    FlowTracker,
    PacketKind,
    TrackerAction, //
};
use rstest::rstest;

use crate::support::{
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
    tracker_settings,
    AGENT_STARTED_MS, //
};

/// Time at which the tests' flows count as lost.
const START: Millis = Millis(0);
const EXPIRES: Millis = Millis(60_000);

/// Sequence number of the flows in the tests' lists.
const SEQUENCE: u32 = u32::MAX - 10;

fn tracker() -> FlowTracker {
    let mut settings = tracker_settings();
    settings.reset_lost = true;
    let mut tracker = FlowTracker::new(settings, AGENT_STARTED_MS, START);
    tracker.set_config(Arc::new(config(1)), START);
    tracker
}

fn beat(
    tracker: &mut FlowTracker,
    started_ms: u64,
    sequence: u64,
    now: Millis,
) -> HeartbeatOutcome {
    let mut heartbeat = heartbeat(sequence, BackendState::Ready);
    heartbeat.started_ms = started_ms;
    tracker.handle_heartbeat(heartbeat, now)
}

/// Returns a list of flows of the run that started at 100.
fn list(callers: impl IntoIterator<Item = u16>) -> SavedFlows {
    let flows = callers.into_iter().map(|caller| SavedFlow {
        key: key(caller),
        sequence: SEQUENCE,
    });
    SavedFlows {
        run: ServerRun {
            server_id: "i-1".into(),
            started_ms: 100,
        },
        saved_unix_ms: 1,
        flows: flows.collect(),
    }
}

fn later(caller: u16, acknowledged: u32) -> FlowPacket {
    FlowPacket {
        acknowledged,
        data_len: 10,
        ..packet(caller, PacketKind::Data)
    }
}

/// Lets the server send data on a flow, and the caller acknowledge this number.
fn serve(tracker: &mut FlowTracker, caller: u16, acknowledged: u32, now: Millis) {
    let sent = u16::try_from(acknowledged - 1).unwrap();
    let data = FlowPacket {
        sequence: 1,
        data_len: sent,
        ..packet(caller, PacketKind::Data)
    };
    backend(tracker, &data, now);
    forward(tracker, &later(caller, acknowledged), header(&[]), now);
}

fn paced(tracker: &mut FlowTracker, now: Millis) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    tracker.reset_former_flows(now, &mut actions);
    actions
}

fn reset(caller: u16, sequence: u32, cause: ResetCause) -> Vec<TrackerAction> {
    vec![TrackerAction::Reset(key(caller), sequence, cause)]
}

/// Returns the tracker of an agent that has read a list, and whose server has just started anew.
fn restarted(callers: impl IntoIterator<Item = u16>) -> FlowTracker {
    let mut tracker = tracker();
    tracker.set_former_flows(list(callers), EXPIRES);
    assert_eq!(tracker.settle_former_flows(START), None);
    beat(&mut tracker, 200, 1, START);
    let settled = tracker.settle_former_flows(START).unwrap();
    assert_eq!(settled.outcome, FormerOutcome::Lost);
    tracker
}

/// Guards against resets of flows whose server runs on, or whose run isn't shown to have ended: the agent was
/// restarted alone, or the clock was set back.
#[rstest]
#[case::agent_restarted_alone(100, "i-1", FormerOutcome::SameRun)]
#[case::clock_was_set_back(99, "i-1", FormerOutcome::NotLater)]
#[case::other_server_at_the_same_time(100, "i-2", FormerOutcome::NotLater)]
#[case::server_restarted(101, "i-1", FormerOutcome::Lost)]
#[case::other_service(101, "i-2", FormerOutcome::Lost)]
fn only_a_later_run_shows_that_flows_are_lost(
    #[case] started_ms: u64,
    #[case] id: &str,
    #[case] outcome: FormerOutcome,
    #[values(false, true)] is_late: bool,
) {
    let mut tracker = tracker();
    let mut beat = heartbeat(1, BackendState::Ready);
    (beat.started_ms, beat.id) = (started_ms, id.into());
    if is_late {
        // The store answers after the first heartbeat.
        tracker.handle_heartbeat(beat.clone(), START);
        tracker.set_former_flows(list([1]), EXPIRES);
    } else {
        tracker.set_former_flows(list([1]), EXPIRES);
        assert_eq!(tracker.settle_former_flows(START), None);
        assert!(paced(&mut tracker, START).is_empty(), "no heartbeat yet");
        tracker.handle_heartbeat(beat, START);
    }
    let settled = tracker.settle_former_flows(START).unwrap();
    assert_eq!((settled.outcome, settled.flows), (outcome, 1));
    let is_lost = outcome == FormerOutcome::Lost;
    assert_eq!(!paced(&mut tracker, START).is_empty(), is_lost);
    let answers = forward(&mut tracker, &later(1, SEQUENCE), header(&[]), START);
    let expected = reset(1, SEQUENCE, ResetCause::FormerPacket);
    assert_eq!(answers == expected, is_lost, "{answers:?}");
}

/// Guards against resets due to a heartbeat that isn't applied: one of another VM, or of a run that claims to be
/// live beside the known one.
#[test]
fn heartbeats_that_are_not_applied_settle_nothing() {
    let mut tracker = tracker();
    tracker.set_former_flows(list([1]), EXPIRES);
    let mut foreign = heartbeat(1, BackendState::Ready);
    foreign.started_ms = 200;
    foreign.address = Some(agent(9));
    let outcome = tracker.handle_heartbeat(foreign, START);
    assert_eq!(outcome, HeartbeatOutcome::Foreign);
    assert_eq!(tracker.settle_former_flows(START), None);

    let mut tracker = self::tracker();
    beat(&mut tracker, 300, 1, START);
    let outcome = beat(&mut tracker, 200, 1, START);
    assert_eq!(outcome, HeartbeatOutcome::Contested);
    tracker.set_former_flows(list([1]), EXPIRES);
    assert_eq!(tracker.settle_former_flows(START), None);
    beat(&mut tracker, 300, 2, Millis(100));
    let settled = tracker.settle_former_flows(Millis(100)).unwrap();
    assert_eq!(settled.outcome, FormerOutcome::Lost);
}

/// Guards against callers that wait after a loss of power because one reset was lost.
#[test]
fn each_packet_of_a_lost_flow_is_answered() {
    let mut tracker = restarted([1]);
    for acknowledged in [SEQUENCE, SEQUENCE.wrapping_add(20)] {
        let answers = forward(&mut tracker, &later(1, acknowledged), header(&[1]), START);
        assert_eq!(answers, reset(1, acknowledged, ResetCause::FormerPacket));
    }
    assert!(paced(&mut tracker, START).is_empty(), "the caller knows");
    let own = packet(1, PacketKind::Reset);
    let answers = forward(&mut tracker, &own, header(&[]), START);
    assert!(!answers
        .iter()
        .any(|action| matches!(action, TrackerAction::Reset(..))));
}

/// Guards against silence for a packet that was delivered before the first heartbeat: the new run returns it.
#[test]
fn returned_packets_of_lost_flows_are_answered() {
    let mut tracker = tracker();
    tracker.set_former_flows(list([1]), EXPIRES);
    let request = later(1, SEQUENCE);
    let actions = forward(&mut tracker, &request, header(&[]), START);
    assert_eq!(actions, [TrackerAction::Deliver]);
    beat(&mut tracker, 200, 1, START);
    tracker.settle_former_flows(START).unwrap();
    let returned = FlowPacket {
        returned: true,
        ..request
    };
    let actions = backend(&mut tracker, &returned, START);
    assert_eq!(actions, reset(1, SEQUENCE, ResetCause::FormerPacket));
}

/// Guards against the reset of a flow that a caller has opened with the same endpoints since.
#[rstest]
#[case::accepted_here(&[], false)]
#[case::sent_elsewhere(&[1], true)]
fn flows_with_reused_endpoints_are_kept(#[case] rest: &[u8], #[case] is_draining: bool) {
    let mut tracker = restarted([1]);
    if is_draining {
        let mut beat = heartbeat(2, BackendState::Draining);
        beat.started_ms = 200;
        tracker.handle_heartbeat(beat, START);
    }
    forward(&mut tracker, &open_packet(1), header(rest), START);
    assert!(paced(&mut tracker, START).is_empty());
    let answers = forward(&mut tracker, &later(1, SEQUENCE), header(&[2]), START);
    assert!(!answers
        .iter()
        .any(|action| matches!(action, TrackerAction::Reset(..))));
}

/// Guards against the reset of a flow that was opened before the first heartbeat, when the list isn't settled yet.
#[test]
fn flows_reopened_before_the_first_heartbeat_are_kept() {
    let mut tracker = tracker();
    tracker.set_former_flows(list([1, 2]), EXPIRES);
    forward(&mut tracker, &open_packet(1), header(&[1]), START);
    tracker.expire(Millis(30_000));
    beat(&mut tracker, 200, 1, Millis(30_000));
    let settled = tracker.settle_former_flows(Millis(30_000)).unwrap();
    assert_eq!(settled.flows, 1);
    assert_eq!(
        paced(&mut tracker, Millis(30_000)),
        reset(2, SEQUENCE, ResetCause::FormerPaced)
    );
}

/// Guards against the reset of a flow with the same endpoints that a live server holds although its opening packet
/// didn't come here: its sequence numbers differ, its owner announces itself, or the own server sends packets.
#[rstest]
#[case::other_sequence_numbers(0)]
#[case::owner_elsewhere(1)]
#[case::own_server(2)]
fn flows_that_a_live_server_shows_to_hold_are_kept(#[case] sign: u8) {
    let mut tracker = restarted([1]);
    let mut acknowledged = SEQUENCE;
    match sign {
        0 => acknowledged = SEQUENCE.wrapping_add(80_000),
        1 => tracker.record_owner(key(1), agent(3), START),
        _ => {
            backend(&mut tracker, &packet(1, PacketKind::Data), START);
        }
    }
    let answers = forward(&mut tracker, &later(1, acknowledged), header(&[2]), START);
    assert!(!answers
        .iter()
        .any(|action| matches!(action, TrackerAction::Reset(..))));
    if sign > 0 {
        assert!(paced(&mut tracker, START).is_empty());
    }
}

/// Guards against new flows that come all at once after the resets, and against resets in an order that makes the
/// callers that come back first wait longest. The server has two slots.
#[test]
fn idle_callers_learn_of_the_loss_one_after_the_other() {
    let mut tracker = restarted([5, 3, 4, 1]);
    assert_eq!(
        paced(&mut tracker, START),
        reset(5, SEQUENCE, ResetCause::FormerPaced)
    );
    assert_eq!(tracker.next_former_reset(), Some(Millis(25)));
    assert!(paced(&mut tracker, Millis(24)).is_empty());
    assert_eq!(
        paced(&mut tracker, Millis(25)),
        reset(3, SEQUENCE, ResetCause::FormerPaced)
    );
    let after_pause = paced(&mut tracker, Millis(1_000));
    assert_eq!(after_pause.len(), 2, "{after_pause:?}");
    assert_eq!(tracker.next_former_reset(), None);
}

/// Guards against resets after each flow of the former run has ended by itself, and against a list that is kept
/// for ever while no server sends a heartbeat.
#[test]
fn lists_expire() {
    let mut tracker = restarted([1, 2]);
    let answers = forward(&mut tracker, &later(1, SEQUENCE), header(&[2]), EXPIRES);
    assert!(!answers
        .iter()
        .any(|action| matches!(action, TrackerAction::Reset(..))));
    assert!(paced(&mut tracker, EXPIRES).is_empty());
    let mut tracker = self::tracker();
    tracker.set_former_flows(list([1]), EXPIRES);
    let settled = tracker.settle_former_flows(EXPIRES).unwrap();
    assert_eq!(settled.outcome, FormerOutcome::Expired);
    beat(&mut tracker, 200, 1, EXPIRES);
    assert!(paced(&mut tracker, EXPIRES).is_empty());
}

/// Guards against saved flows that the named run of the server may not hold: short ones, those that the server has
/// only accepted, and those that the next run may have accepted before its first heartbeat.
#[test]
fn flows_that_the_run_certainly_holds_are_saved() {
    let mut tracker = tracker();
    assert_eq!(tracker.long_flows(1, START), None, "no run is known");
    beat(&mut tracker, 100, 1, START);
    for caller in [1, 2, 3] {
        open_flow(&mut tracker, caller, START);
    }
    serve(&mut tracker, 1, 500, Millis(10));
    serve(&mut tracker, 2, 700, Millis(20));
    let saved = |tracker: &FlowTracker, now| {
        let list = tracker.long_flows(1, now).unwrap();
        let flows = list.flows.iter();
        let found: Vec<_> = flows.map(|flow| (flow.key, flow.sequence)).collect();
        (list.run.started_ms, found)
    };
    assert_eq!(
        saved(&tracker, Millis(1_100)),
        (100, vec![]),
        "served after the heartbeat"
    );
    beat(&mut tracker, 100, 2, Millis(500));
    assert_eq!(saved(&tracker, Millis(999)), (100, vec![]), "short");
    let expected = vec![(key(2), 700), (key(1), 500)];
    assert_eq!(saved(&tracker, Millis(1_000)), (100, expected));
    beat(&mut tracker, 200, 1, Millis(1_200));
    tracker.reset_lost_flows(&mut Vec::new());
    assert_eq!(
        saved(&tracker, Millis(1_200)),
        (200, vec![]),
        "the run has ended"
    );
    beat(&mut tracker, 150, 1, Millis(1_300));
    assert_eq!(tracker.long_flows(1, Millis(1_300)), None, "contested");
}

/// Guards against resets that callers ignore: after a restart of the agent alone, its server's packet shows that it
/// holds a flow, but not what the caller expects.
#[test]
fn flows_whose_sequence_number_is_unknown_are_not_saved() {
    let mut tracker = tracker();
    beat(&mut tracker, 100, 9, START);
    forward(&mut tracker, &later(1, 70), header(&[]), START);
    backend(&mut tracker, &packet(1, PacketKind::Data), START);
    beat(&mut tracker, 100, 10, Millis(1_200));
    let flows = |tracker: &FlowTracker| tracker.long_flows(1, Millis(1_200)).unwrap().flows;
    assert!(flows(&tracker).is_empty());
    forward(&mut tracker, &later(1, 80), header(&[]), Millis(1_200));
    assert_eq!(flows(&tracker)[0].sequence, 80);
}

/// Guards against values that grow with the flows of a server.
#[test]
fn the_most_recently_used_flows_are_saved() {
    let mut tracker = tracker();
    beat(&mut tracker, 100, 1, START);
    let callers = u16::try_from(MAX_SAVED_FLOWS + 10).unwrap();
    for caller in 0..callers {
        let now = Millis(u64::from(caller));
        open_flow(&mut tracker, caller, now);
        serve(&mut tracker, caller, 5, now);
    }
    let now = Millis(10_000);
    beat(&mut tracker, 100, 2, now);
    let flows = tracker.long_flows(1, now).unwrap().flows;
    assert_eq!(flows.len(), MAX_SAVED_FLOWS);
    assert_eq!(
        (flows[0].key, flows[1_023].key),
        (key(callers - 1), key(10))
    );
}

/// Guards against the loss of a list that a second loss of power would need, and against one that is written after
/// its key was deleted at the shutdown.
#[test]
fn no_empty_list_replaces_that_of_a_former_run_or_follows_a_shutdown() {
    let mut tracker = restarted([1]);
    assert_eq!(tracker.long_flows(1, Millis(1_000)), None);
    tracker.settle_former_flows(EXPIRES);
    beat(&mut tracker, 200, 2, EXPIRES);
    assert!(tracker.long_flows(1, EXPIRES).is_some());
    tracker.stop();
    assert_eq!(tracker.long_flows(1, EXPIRES), None);
}

/// Guards against writes that tell nothing new, and against a list that is left as it is although it changed.
#[test]
fn only_changed_lists_are_written() {
    let mut saver = FlowSaver::new(Millis(4_000), START, 0.5);
    let advanced = |advance: u32| {
        let mut list = list([1, 2]);
        list.flows[1].sequence = SEQUENCE.wrapping_add(advance);
        list
    };
    let mut other_run = list([1, 2]);
    other_run.run.started_ms += 1;
    assert!(!saver.is_changed(&list([])), "nothing was saved");
    assert!(saver.is_changed(&list([1, 2])));
    saver.note_saved(list([2, 1]), 32, START, 0.5);
    assert!(!saver.is_changed(&list([1, 2])));
    assert!(!saver.is_changed(&advanced(38_400)));
    assert!(saver.is_changed(&advanced(38_401)));
    assert!(saver.is_changed(&list([1, 3])) && saver.is_changed(&list([1])));
    assert!(saver.is_changed(&list([])) && saver.is_changed(&other_run));
    saver.note_saved(list([]), 8, START, 0.5);
    assert!(!saver.is_changed(&list([])));
    // The write may have taken effect.
    saver.note_failed(32, START, 0.5);
    assert!(saver.is_changed(&list([])));
}

/// Guards against agents that write together, and against more than 2 KB/s of one agent; a failed write is repeated
/// no sooner.
#[rstest]
#[case::earliest(0.0, 16, 3_000)]
#[case::latest(1.0, 16, 5_000)]
#[case::long_list(0.5, 16 * 1_024, 8_000)]
fn saves_are_spread(#[case] random: f64, #[case] len: usize, #[case] expected: u64) {
    let now = Millis(100);
    let mut saver = FlowSaver::new(Millis(4_000), now, random);
    saver.note_saved(list([1]), len, now, random);
    assert_eq!(saver.next_save(), now.plus(Millis(expected)));
    saver.note_failed(len, now, random);
    assert_eq!(saver.next_save(), now.plus(Millis(expected)));
}
