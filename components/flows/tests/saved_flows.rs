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

use crate::support::*;

/// Time at which the tests' flows count as lost.
const START: Millis = Millis(0);
const EXPIRES: Millis = Millis(60_000);

/// Sequence number of the flows in the tests' lists.
const SEQUENCE: u32 = u32::MAX - 10;

fn new_tracker() -> FlowTracker {
    let mut settings = tracker_settings();
    settings.reset_lost = true;
    let mut tracker = FlowTracker::new(settings, AGENT_STARTED_MS, START);
    tracker.set_config(Arc::new(config(1)), START);
    tracker
}

fn beat(tracker: &mut FlowTracker, run: u64, sequence: u64, now: Millis) -> HeartbeatOutcome {
    let mut heartbeat = heartbeat(sequence, BackendState::Ready);
    heartbeat.started_ms = run;
    tracker.handle_heartbeat(heartbeat, now)
}

/// Returns a list of flows of the run that started at 100.
fn list<const N: usize>(callers: [u16; N]) -> SavedFlows {
    let flow = |caller| SavedFlow {
        key: key(caller),
        sequence: SEQUENCE,
    };
    SavedFlows {
        run: ServerRun {
            server_id: "i-1".into(),
            started_ms: 100,
        },
        saved_unix_ms: 1,
        flows: callers.map(flow).to_vec(),
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
fn serve(tracker: &mut FlowTracker, caller: u16, acknowledged: u16, now: Millis) {
    let data = FlowPacket {
        sequence: 1,
        data_len: acknowledged - 1,
        ..packet(caller, PacketKind::Data)
    };
    backend(tracker, &data, now);
    let packet = later(caller, acknowledged.into());
    forward(tracker, &packet, header(&[]), now);
}

fn paced(tracker: &mut FlowTracker, now: Millis) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    tracker.reset_former_flows(now, &mut actions);
    actions
}

/// Returns whether a packet of the caller is answered with a reset that has its acknowledgement number.
fn is_answered(tracker: &mut FlowTracker, packet: &FlowPacket, now: Millis) -> bool {
    let actions = forward(tracker, packet, header(&[2]), now);
    let is_reset = |action: &TrackerAction| matches!(action, TrackerAction::Reset(..));
    let expected = reset(1, packet.acknowledged, ResetCause::FormerPacket);
    assert_eq!(actions.iter().any(is_reset), actions == expected);
    actions == expected
}

fn reset(caller: u16, sequence: u32, cause: ResetCause) -> Vec<TrackerAction> {
    vec![TrackerAction::Reset(key(caller), sequence, cause)]
}

fn settle(tracker: &mut FlowTracker, now: Millis) -> Option<FormerOutcome> {
    let settled = tracker.settle_former_flows(now);
    settled.map(|settled| settled.outcome)
}

/// Returns the tracker of an agent that has read a list, and whose server has just started anew.
fn restarted<const N: usize>(callers: [u16; N]) -> FlowTracker {
    let mut tracker = new_tracker();
    tracker.set_former_flows(list(callers), EXPIRES);
    assert_eq!(settle(&mut tracker, START), None);
    beat(&mut tracker, 200, 1, START);
    assert_eq!(settle(&mut tracker, START), Some(FormerOutcome::Lost));
    tracker
}

/// Guards against resets of flows whose server runs on, or whose run isn't shown to have ended: the agent was
/// restarted alone, or the clock was set back. The store may answer after the first heartbeat.
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
    let mut tracker = new_tracker();
    let mut beat = heartbeat(1, BackendState::Ready);
    (beat.started_ms, beat.id) = (started_ms, id.into());
    if is_late {
        tracker.handle_heartbeat(beat.clone(), START);
    }
    tracker.set_former_flows(list([1]), EXPIRES);
    if !is_late {
        assert_eq!(settle(&mut tracker, START), None);
        assert!(paced(&mut tracker, START).is_empty(), "no heartbeat yet");
        tracker.handle_heartbeat(beat, START);
    }
    assert_eq!(settle(&mut tracker, START), Some(outcome));
    let is_lost = outcome == FormerOutcome::Lost;
    assert_eq!(!paced(&mut tracker, START).is_empty(), is_lost);
    let packet = later(1, SEQUENCE);
    assert_eq!(is_answered(&mut tracker, &packet, START), is_lost);
}

/// Guards against resets due to a heartbeat that isn't applied: one of another VM, or of a run that claims to be
/// live beside the known one.
#[test]
fn heartbeats_that_are_not_applied_settle_nothing() {
    let mut tracker = new_tracker();
    tracker.set_former_flows(list([1]), EXPIRES);
    let mut foreign = heartbeat(1, BackendState::Ready);
    (foreign.started_ms, foreign.address) = (200, agent(9));
    let outcome = tracker.handle_heartbeat(foreign, START);
    assert_eq!(outcome, HeartbeatOutcome::Foreign);
    assert_eq!(settle(&mut tracker, START), None);
    beat(&mut tracker, 300, 1, START);
    let outcome = beat(&mut tracker, 200, 1, START);
    assert_eq!(outcome, HeartbeatOutcome::Contested);
    assert_eq!(settle(&mut tracker, START), None);
    beat(&mut tracker, 300, 2, Millis(100));
    assert_eq!(settle(&mut tracker, Millis(100)), Some(FormerOutcome::Lost));
}

/// Guards against callers that wait after a loss of power because one reset was lost.
#[test]
fn each_packet_of_a_lost_flow_is_answered() {
    let mut tracker = restarted([1]);
    for acknowledged in [SEQUENCE, SEQUENCE.wrapping_add(20)] {
        assert!(is_answered(&mut tracker, &later(1, acknowledged), START));
    }
    assert!(paced(&mut tracker, START).is_empty(), "the caller knows");
    let own = packet(1, PacketKind::Reset);
    assert!(!is_answered(&mut tracker, &own, START));
    assert!(!is_answered(&mut tracker, &later(1, SEQUENCE), EXPIRES));
}

/// Guards against silence for a packet that was delivered before the first heartbeat: the new run returns it. Without
/// a heartbeat, the list expires.
#[test]
fn returned_packets_of_lost_flows_are_answered() {
    let mut tracker = new_tracker();
    tracker.set_former_flows(list([1]), EXPIRES);
    let outcome = settle(&mut tracker, EXPIRES);
    assert_eq!(outcome, Some(FormerOutcome::Expired));
    tracker.set_former_flows(list([1]), EXPIRES);
    let mut packet = later(1, SEQUENCE);
    let actions = forward(&mut tracker, &packet, header(&[]), START);
    assert_eq!(actions, [TrackerAction::Deliver]);
    beat(&mut tracker, 200, 1, START);
    settle(&mut tracker, START);
    packet.returned = true;
    let actions = backend(&mut tracker, &packet, START);
    assert_eq!(actions, reset(1, SEQUENCE, ResetCause::FormerPacket));
}

/// Guards against the reset of a flow that a caller has opened since with the same endpoints at a live server, which is
/// shown by its opening packet, its owner's announcement, a packet of the own server, or its sequence numbers.
#[rstest]
#[case::accepted_here(|tracker: &mut FlowTracker| {
    forward(tracker, &open_packet(1), header(&[]), START);
})]
#[case::opened_elsewhere(|tracker: &mut FlowTracker| {
    tracker.stop();
    forward(tracker, &open_packet(1), header(&[1]), START);
})]
#[case::owned_elsewhere(|tracker: &mut FlowTracker| tracker.record_owner(key(1), agent(3), START))]
#[case::held_here(|tracker: &mut FlowTracker| {
    backend(tracker, &packet(1, PacketKind::Data), START);
})]
fn flows_with_reused_endpoints_are_kept(#[case] reopen: fn(&mut FlowTracker)) {
    let other = later(1, SEQUENCE.wrapping_add(80_000));
    let mut settled = restarted([1]);
    assert!(!is_answered(&mut settled, &other, START));
    reopen(&mut settled);
    let mut unsettled = new_tracker();
    unsettled.set_former_flows(list([1]), EXPIRES);
    reopen(&mut unsettled);
    beat(&mut unsettled, 200, 1, START);
    settle(&mut unsettled, START);
    for mut tracker in [settled, unsettled] {
        assert!(paced(&mut tracker, START).is_empty());
        assert!(!is_answered(&mut tracker, &later(1, SEQUENCE), START));
    }
}

/// Guards against new flows that come all at once after the resets, and against resets in an order that makes the
/// callers that come back first wait longest. The server has two slots.
#[test]
fn idle_callers_learn_of_the_loss_one_after_the_other() {
    let mut tracker = restarted([5, 3, 4, 1]);
    let expected = |caller| reset(caller, SEQUENCE, ResetCause::FormerPaced);
    assert_eq!(paced(&mut tracker, START), expected(5));
    assert_eq!(tracker.next_former_reset(START), Some(Millis(25)));
    assert!(paced(&mut tracker, Millis(24)).is_empty());
    assert_eq!(paced(&mut tracker, Millis(25)), expected(3));
    assert_eq!(paced(&mut tracker, Millis(1_000)).len(), 2);
    assert_eq!(tracker.next_former_reset(Millis(1_000)), None);
    let mut expired = restarted([1]);
    assert!(paced(&mut expired, EXPIRES).is_empty());
    assert_eq!(expired.next_former_reset(EXPIRES), None, "no busy loop");
}

/// Guards against new requests that wait behind those of an outage: all callers come back right after a loss of power, when
/// servers that have just started are slow. The server has two slots, which two flows have taken.
#[test]
fn resets_wait_for_room_where_callers_repeat_their_requests() {
    let mut tracker = restarted([1, 2, 3]);
    open_flow(&mut tracker, 8, START);
    open_flow(&mut tracker, 9, START);
    for caller in [8, 9] {
        forward(&mut tracker, &later(caller, 1), header(&[]), START);
    }
    assert_eq!(tracker.report(START).busy, 2);
    assert!(!is_answered(&mut tracker, &later(3, SEQUENCE + 9), START));
    assert!(paced(&mut tracker, Millis(799)).is_empty());
    // The caller needs the rest of its time for another attempt.
    assert_eq!(tracker.next_former_reset(Millis(799)), Some(Millis(800)));
    let postponed = reset(3, SEQUENCE + 9, ResetCause::FormerPacket);
    assert_eq!(paced(&mut tracker, Millis(800)), postponed);
    assert_eq!(tracker.next_former_reset(Millis(800)), None);
    let response = FlowPacket {
        sequence: 1,
        data_len: 10,
        ..packet(8, PacketKind::Data)
    };
    backend(&mut tracker, &response, Millis(801));
    assert_eq!(paced(&mut tracker, Millis(900)).len(), 2);
}

/// Guards against requests that are sent on lost flows and can't be repeated: their callers bring no load back, so they
/// are told at once, also while the server has no room.
#[test]
fn callers_that_repeat_no_request_learn_of_the_loss_at_once() {
    let mut tracker = restarted([1, 2, 3]);
    let mut config = scheduling_config(2, [1, 2]);
    config.revision = 2;
    tracker.set_config(Arc::new(config), START);
    assert_eq!(paced(&mut tracker, START).len(), 3);
    assert_eq!(tracker.next_former_reset(START), None);
}

/// Guards against saved flows that the named run of the server may not hold: short ones, those that the server has
/// only accepted, and those that the next run may have accepted before its first heartbeat.
#[test]
fn flows_that_the_run_certainly_holds_are_saved() {
    let mut tracker = new_tracker();
    assert_eq!(tracker.long_flows(1, START), None, "no run is known");
    tracker.note_clock(150, START);
    beat(&mut tracker, 100, 1, START);
    for caller in [1, 2, 3] {
        open_flow(&mut tracker, caller, START);
    }
    serve(&mut tracker, 1, 500, Millis(10));
    serve(&mut tracker, 2, 700, Millis(20));
    let saved = |tracker: &FlowTracker, now| {
        let list = tracker.long_flows(1, Millis(now)).unwrap();
        let flows = list.flows.iter().map(|flow| (flow.key, flow.sequence));
        (list.run.started_ms, flows.collect())
    };
    let served_late = saved(&tracker, 1_100);
    beat(&mut tracker, 100, 2, Millis(500));
    let short = saved(&tracker, 999);
    assert_eq!((served_late, short), ((100, vec![]), (100, vec![])));
    let expected = vec![(key(2), 700), (key(1), 500)];
    assert_eq!(saved(&tracker, 1_000), (100, expected));
    let next = 150 + 1_190;
    beat(&mut tracker, next, 1, Millis(1_200));
    tracker.reset_lost_flows(&mut Vec::new());
    assert_eq!(saved(&tracker, 1_200), (next, vec![]));
    beat(&mut tracker, 150, 1, Millis(1_300));
    assert_eq!(tracker.long_flows(1, Millis(1_300)), None, "contested");
}

/// Guards against values that grow with the flows of a server, and against resets that callers ignore: after a restart of
/// the agent alone, a packet of the server shows that it holds a flow, but not what the caller expects.
#[test]
fn the_most_recently_used_flows_are_saved() {
    let mut tracker = new_tracker();
    beat(&mut tracker, 100, 1, START);
    for caller in 0..1_034 {
        let now = Millis(caller.into());
        open_flow(&mut tracker, caller, now);
        serve(&mut tracker, caller, 5, now);
    }
    forward(&mut tracker, &later(2_000, 70), header(&[]), Millis(9_000));
    let held = packet(2_000, PacketKind::Data);
    backend(&mut tracker, &held, Millis(9_000));
    beat(&mut tracker, 100, 2, Millis(10_000));
    let flows = tracker.long_flows(1, Millis(10_000)).unwrap().flows;
    assert_eq!(flows.len(), MAX_SAVED_FLOWS);
    assert_eq!((flows[0].key, flows[1_023].key), (key(1_033), key(10)));
}

/// Guards against the loss of a list that a second loss of power would need, and against one that is written after
/// its key was deleted at the shutdown.
#[test]
fn no_empty_list_replaces_that_of_a_former_run_or_follows_a_shutdown() {
    let mut tracker = restarted([1]);
    beat(&mut tracker, 200, 2, Millis(1_000));
    assert_eq!(tracker.long_flows(1, Millis(1_000)), None);
    settle(&mut tracker, EXPIRES);
    beat(&mut tracker, 200, 3, EXPIRES);
    assert!(tracker.long_flows(1, EXPIRES).is_some());
    tracker.stop();
    assert_eq!(tracker.long_flows(1, EXPIRES), None);
}

/// Guards against writes that tell nothing new, and against a list that is left as it is although it changed.
#[test]
fn only_changed_lists_are_written() {
    let mut saver = FlowSaver::new(Millis(4_000), START, 0.5);
    let mut advanced = list([1, 2]);
    let mut other_run = list([1, 2]);
    other_run.run.started_ms += 1;
    saver.note_lost();
    assert!(!saver.is_changed(&list([])), "nothing was saved");
    assert!(saver.is_changed(&advanced));
    saver.note_saved(list([2, 1]), 32, START, 0.5);
    assert!(!saver.is_changed(&advanced));
    saver.note_lost();
    assert!(saver.is_changed(&advanced), "the store may lack it");
    saver.note_saved(list([2, 1]), 32, START, 0.5);
    advanced.flows[1].sequence = SEQUENCE.wrapping_add(38_400);
    assert!(!saver.is_changed(&advanced));
    advanced.flows[1].sequence = SEQUENCE.wrapping_add(38_401);
    for changed in [advanced, list([1, 3]), list([1]), list([]), other_run] {
        assert!(saver.is_changed(&changed), "{changed:?}");
    }
    saver.note_saved(list([]), 8, START, 0.5);
    assert!(!saver.is_changed(&list([])));
    saver.note_failed(32, START, 0.5);
    assert!(saver.is_changed(&list([])), "it may have taken effect");
}

/// Guards against agents that write together, and against more than 2 KB/s of one agent; a failed write is repeated
/// no sooner.
#[rstest]
#[case::earliest(0.0, 16, 3_000)]
#[case::latest(1.0, 16, 5_000)]
#[case::long_list(0.5, 16 * 1_024, 8_000)]
fn saves_are_spread(#[case] random: f64, #[case] len: usize, #[case] expected: u64) {
    let mut saver = FlowSaver::new(Millis(4_000), START, random);
    saver.note_saved(list([1]), len, START, random);
    assert_eq!(saver.next_save(), Millis(expected));
    saver.note_failed(len, START, random);
    assert_eq!(saver.next_save(), Millis(expected));
}
