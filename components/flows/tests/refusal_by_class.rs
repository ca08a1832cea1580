//! Early refusal of new flows while agents hold requests of several priority classes.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentReport,
        DropCause,
        HeldCounts, //
    },
    FlowPacket,
    FlowRouter,
    FlowTracker,
    PacketKind,
    RouteAction,
    TrackerAction, //
};
use rstest::rstest;
use support::{
    agent,
    backend,
    open_packet,
    router,
    scheduling::{
        data,
        open_slow,
        send,
        send_with,
        slow,
        LEN,
        SLOTS,
        START, //
    },
    scheduling_config,
    scheduling_tracker, //
};

/// Long flows of the less urgent route.
const LONG_FLOWS: u16 = 40;

/// Time that the server works on a request.
const WORK: Millis = Millis(30);

/// Responses after which the agent's reports show this time within a tenth.
const LEARNED: u32 = 250;

fn weighing_router(priorities: [u8; 2]) -> FlowRouter {
    let mut router = router(1);
    router.config = Some(Arc::new(scheduling_config(1, priorities)));
    router.options.weigh_servers = true;
    router
}

fn open_urgent(caller: u16) -> FlowPacket {
    open_packet(caller)
}

fn open_less_urgent(caller: u16) -> FlowPacket {
    slow(caller, PacketKind::Open { retransmission: 0 }, 0, 0)
}

fn refused_share(
    router: &mut FlowRouter,
    report: AgentReport,
    opening: fn(u16) -> FlowPacket,
    now: Millis,
) -> f64 {
    router.update_weights(now);
    router.agents.apply_report(agent(0), report.clamped(), now);
    let refused = (1_000..1_400).filter(|caller| {
        let action = router.route(&opening(*caller), now);
        action == RouteAction::Refuse(DropCause::NoRoom)
    });
    refused.count() as f64 / 400.0
}

/// A server with four slots, all in use, whose agent holds 36 requests: one that runs after all of them
/// waits for 277 ms, another one for 7 ms. The limit of the routes is 120 ms.
fn holding(held: &[(u8, u32)]) -> AgentReport {
    let mut counts = HeldCounts::new();
    for (class, count) in held {
        counts.push(*class, *count);
    }
    AgentReport {
        accepts: true,
        is_confirmed: true,
        busy: SLOTS,
        slots: SLOTS,
        queued: 36,
        held: counts,
        work_us: 30_000,
        ..AgentReport::default()
    }
}

/// Guards against refusals by held requests that run after the new one, and against flows that aren't
/// refused although those that run before it fill the server. Requests whose class isn't known, of an agent
/// of an older build or beyond the four that a report tells apart, must not refuse a more urgent flow.
#[rstest]
#[case::less_urgent_held([1, 2], &[(2, 36)], 0.0, 0.9)]
#[case::most_urgent_held([1, 2], &[(1, 36)], 0.9, 0.9)]
#[case::some_of_both_held([1, 2], &[(1, 20), (2, 16)], 0.5, 0.9)]
#[case::few_of_both_held([1, 2], &[(1, 1), (2, 35)], 0.0, 0.9)]
#[case::routes_of_one_priority([1, 1], &[(1, 36)], 0.9, 0.9)]
#[case::held_by_an_older_build([1, 2], &[], 0.0, 0.0)]
#[case::more_than_are_held([1, 2], &[(1, 65_535), (2, 65_535)], 0.9, 0.9)]
#[case::last_of_many_classes([4, 9], &[(3, 1), (5, 1), (6, 1), (7, 1), (8, 16), (9, 16)], 0.0, 0.9)]
#[case::between_merged_classes([8, 9], &[(3, 1), (5, 1), (6, 1), (7, 16), (8, 16), (9, 1)], 0.0, 0.9)]
fn held_requests_refuse_flows_of_the_same_or_a_less_urgent_class(
    #[case] priorities: [u8; 2],
    #[case] held: &[(u8, u32)],
    #[case] first: f64,
    #[case] second: f64,
) {
    let report = holding(held);
    let mut router = weighing_router(priorities);
    for (opening, expected) in [
        (open_urgent as fn(u16) -> _, first),
        (open_less_urgent, second),
    ] {
        let share = refused_share(&mut router, report, opening, Millis(1_000));
        assert!((share - expected).abs() < 0.1, "{share} {expected}");
    }
}

/// Returns an agent that has learned how long its server works, and the time.
fn learned_tracker() -> (FlowTracker, Millis) {
    let mut tracker = scheduling_tracker(SLOTS, true);
    open_slow(&mut tracker, 0..LONG_FLOWS);
    let mut now = START;
    for number in 0..LEARNED {
        send(&mut tracker, data(0, number), now);
        now = now.plus(WORK);
        backend(
            &mut tracker,
            &slow(0, PacketKind::Data, number + 1, LEN),
            now,
        );
    }
    (tracker, now)
}

/// Guards against an overload by long flows of a less urgent route, in which balancers refuse the new flows
/// of the urgent one although the agent accepts them.
#[test]
fn long_less_urgent_flows_leave_urgent_ones_to_the_agent() {
    let (mut tracker, now) = learned_tracker();
    for caller in 0..LONG_FLOWS {
        send(&mut tracker, data(caller, LEARNED), now);
    }
    let report = tracker.report(now);
    assert_eq!((report.busy, report.queued), (SLOTS, 36));
    assert!(report.held.iter().eq([(2, 36)]));
    let mut router = weighing_router([1, 2]);
    let urgent = refused_share(&mut router, report, open_urgent, now);
    let less_urgent = refused_share(&mut router, report, open_less_urgent, now);
    assert_eq!(urgent, 0.0);
    assert!((less_urgent - 0.9).abs() < 0.1, "{less_urgent}");
    let RouteAction::Forward { header, .. } = router.route(&open_urgent(2_000), now) else {
        panic!("the urgent flow must be forwarded");
    };
    let actions = send_with(&mut tracker, open_urgent(2_000), header, now);
    assert!(actions.contains(&TrackerAction::Deliver), "{actions:?}");
}
