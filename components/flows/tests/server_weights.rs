//! Weights of servers, spilling to other data centres and early refusal at a balancer.

mod support;

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        AgentReport,
        DropCause,
        HeldCounts, //
    },
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use rstest::rstest;
use support::{
    agent,
    open_packet,
    packet,
    router,
    CENTRE,
    SERVICE, //
};

const FLOWS: u16 = 4_000;

const IDLE: AgentReport = AgentReport {
    accepts: true,
    failure_percent: 0,
    busy: 0,
    queued: 0,
    held: HeldCounts::new(),
    slots: 3,
    revision: 1,
    is_confirmed: true,
    work_us: 26_000,
    open_flows: 20,
};

/// A server whose new requests would wait for 44 ms; the limit of the route is 48 ms.
const FULL: AgentReport = AgentReport { busy: 7, ..IDLE };

/// A server whose new requests would wait for 52 ms, and one where they would wait for 113 ms.
const OVERLOADED: AgentReport = AgentReport { busy: 8, ..IDLE };
const FLOODED: AgentReport = AgentReport { busy: 15, ..IDLE };

fn weighing_router(agents: u8) -> FlowRouter {
    let mut router = router(agents);
    router.options.weigh_servers = true;
    router.update_weights(Millis(0));
    router
}

/// Applies the report of each agent at a time and updates the weights.
fn report(router: &mut FlowRouter, agents: u8, now: Millis, report_of: impl Fn(u8) -> AgentReport) {
    for number in 0..agents {
        let report = report_of(number).clamped();
        router.agents.apply_report(agent(number), report, now);
    }
    router.update_weights(now);
}

fn first_target(router: &mut FlowRouter, caller: u16, now: Millis) -> Option<SocketAddrV4> {
    match router.route(&open_packet(caller), now) {
        RouteAction::Forward { to, .. } => Some(to),
        _ => None,
    }
}

/// Returns the share of new flows whose first candidate each agent is.
fn shares(router: &mut FlowRouter, agents: u8, now: Millis) -> Vec<f64> {
    let mut counts = vec![0; usize::from(agents)];
    for caller in 0..FLOWS {
        if let Some(to) = first_target(router, caller, now) {
            counts[usize::from(to.ip().octets()[3])] += 1;
        }
    }
    counts
        .iter()
        .map(|count| f64::from(*count) / f64::from(FLOWS))
        .collect()
}

/// Guards against slow servers that get as many flows as fast ones, against too small a share, by which a
/// server would have no requests that show its recovery, and against weights of servers that differ
/// little.
#[rstest]
#[case::slow(62_000, 20, 3.0 / 8.0)]
#[case::slow_with_few_flows(62_000, 8, 3.0 / 8.0)]
#[case::slow_with_many_flows(62_000, 200, 2.0 / 8.0)]
#[case::slowest_with_most_flows(60_000_000, 1_000_000, 1.0 / 8.0)]
#[case::a_little_slower(38_000, 20, 1.0)]
#[case::many_flows(26_000, 60, 5.0 / 8.0)]
#[case::few_flows(26_000, 0, 1.0)]
#[case::older_build(0, 0, 1.0)]
fn the_share_of_a_server_follows_its_weight(
    #[case] work_us: u32,
    #[case] open_flows: u32,
    #[case] weight: f64,
) {
    let mut router = weighing_router(9);
    let now = Millis(1_000);
    report(&mut router, 9, now, |number| match number {
        0 => AgentReport {
            work_us,
            open_flows,
            ..IDLE
        },
        _ => IDLE,
    });
    let share = shares(&mut router, 9, now)[0];
    let expected = weight / (8.0 + weight);
    assert!((share - expected).abs() < 0.015, "{share} {expected}");
}

/// Guards against another order than without weights while no server is slower or fuller than the others,
/// and while the servers' agents are of an older build.
#[rstest]
#[case::all_equally_fast(IDLE)]
#[case::all_equally_slow(AgentReport { work_us: 900_000, ..IDLE })]
#[case::older_builds(AgentReport { work_us: 0, open_flows: 0, ..IDLE })]
#[case::all_impossible(AgentReport { work_us: u32::MAX, open_flows: u32::MAX, slots: 0, busy: u32::MAX, ..IDLE })]
fn equal_servers_keep_the_order_of_the_hash(#[case] state: AgentReport) {
    let mut weighing = weighing_router(20);
    let mut plain = router(20);
    let now = Millis(1_000);
    for router in [&mut weighing, &mut plain] {
        report(router, 20, now, |_| state);
    }
    for caller in 0..500 {
        for kind in [PacketKind::Open { retransmission: 1 }, PacketKind::Data] {
            let packet = packet(caller, kind);
            assert_eq!(weighing.route(&packet, now), plain.route(&packet, now));
        }
    }
    assert_eq!(weighing.weight_changes(), []);
}

/// Guards against impossible values of one server that change the weights of the others.
#[test]
fn an_impossible_report_changes_one_weight_only() {
    let mut router = weighing_router(12);
    let now = Millis(1_000);
    report(&mut router, 12, now, |number| match number {
        0 => AgentReport {
            slots: 0,
            work_us: u32::MAX,
            open_flows: u32::MAX,
            ..IDLE
        },
        1 => AgentReport { work_us: 1, ..IDLE },
        _ => IDLE,
    });
    let changes: Vec<_> = router
        .weight_changes()
        .iter()
        .map(|change| change.agent)
        .collect();
    assert_eq!(changes, [agent(0)]);
}

/// Guards against a server that keeps its low weight after it has become fast, and against one that keeps it
/// without reports.
#[rstest]
#[case::reports_that_it_is_fast(true)]
#[case::stops_reporting(false)]
fn a_server_recovers_its_weight(#[case] reports: bool) {
    let mut router = weighing_router(4);
    report(&mut router, 4, Millis(1_000), |number| match number {
        0 => AgentReport {
            work_us: 200_000,
            ..IDLE
        },
        _ => IDLE,
    });
    assert_eq!(router.weight_changes()[0].eighths, 1);
    let later = Millis(3_100);
    if reports {
        report(&mut router, 4, later, |_| IDLE);
    } else {
        router.update_weights(later);
    }
    assert_eq!(router.weight_changes()[0].eighths, 8);
}

/// Guards against a new server that gets more than its share of the flows at once, and against a balancer
/// that takes all servers for new ones after its own start.
#[test]
fn a_server_that_joins_has_half_its_weight() {
    let mut router = weighing_router(9);
    let start = Millis(10_000);
    report(&mut router, 9, Millis(500), |_| IDLE);
    assert_eq!(router.weight_changes(), []);
    router.agents.insert(record(9, CENTRE), start);
    let empty = AgentReport {
        open_flows: 0,
        work_us: 0,
        ..IDLE
    };
    let report_of = |number| if number == 9 { empty } else { IDLE };
    report(&mut router, 10, start, report_of);
    let joined = shares(&mut router, 10, start)[9];
    assert!((joined - 0.5 / 9.5).abs() < 0.015, "{joined}");
    let later = start.plus(Millis(1_000));
    report(&mut router, 10, later, report_of);
    let settled = shares(&mut router, 10, later)[9];
    assert!((settled - 0.1).abs() < 0.015, "{settled}");
}

/// Guards against an owner that later packets don't find: with weights, the first candidate of an opening
/// packet often isn't that of the flow's later packets.
#[test]
fn an_owner_by_weight_is_announced() {
    let mut router = weighing_router(30);
    let now = Millis(1_000);
    report(&mut router, 30, now, |number| AgentReport {
        work_us: if number % 3 == 0 { 62_000 } else { 26_000 },
        ..IDLE
    });
    let mut moved = 0;
    for caller in 0..500 {
        let mut other = support::router(30);
        let order = match other.route(&packet(caller, PacketKind::Data), now) {
            RouteAction::Forward { to, header } => [vec![to], header.rest].concat(),
            action => panic!("{action:?}"),
        };
        let RouteAction::Forward { to, header } = router.route(&open_packet(caller), now) else {
            panic!("the opening packet must be forwarded");
        };
        let candidates = [vec![to], header.rest].concat();
        let is_firm = candidates
            .iter()
            .all(|candidate| order[..4].contains(candidate));
        assert_eq!(header.is_firm, is_firm);
        assert_eq!(header.anchors, &order[..2]);
        moved += usize::from(to != order[0]);
        let RouteAction::Forward { to: later, .. } =
            router.route(&packet(caller, PacketKind::Data), now)
        else {
            panic!("the later packet must be forwarded");
        };
        assert_eq!(later, to);
    }
    assert!(moved > 50, "{moved} of 500");
}

fn record(number: u8, centre: &str) -> AgentRecord {
    AgentRecord {
        address: agent(number),
        centre: centre.into(),
        service: SERVICE.into(),
        is_leaving: false,
    }
}

/// Returns a balancer with four servers in its data centre, and four in another one.
fn two_centres() -> FlowRouter {
    let mut router = weighing_router(4);
    for number in 4..8 {
        router.agents.insert(record(number, "south"), Millis(0));
    }
    router
}

/// Guards against expensive traffic between data centres while any near server may have a free slot, and
/// against flows that wait while servers elsewhere are idle.
#[rstest]
#[case::all_full_twice(4, 2, 0, IDLE, 1.0)]
#[case::one_was_free_before(4, 1, 0, IDLE, 0.75)]
#[case::one_is_free(3, 2, 0, IDLE, 0.0)]
#[case::reports_are_old(4, 2, 150, IDLE, 0.0)]
#[case::others_are_full(4, 2, 0, FULL, 0.0)]
fn flows_spill_only_from_a_full_centre(
    #[case] full: u8,
    #[case] times: usize,
    #[case] age: u64,
    #[case] far: AgentReport,
    #[case] expected: f64,
) {
    let mut router = two_centres();
    let now = Millis(1_000);
    for round in 0..2 {
        let is_full = |number: u8| match number {
            0 => round + times >= 2 && full > 0,
            _ => number < full,
        };
        report(&mut router, 8, now, |number| match number {
            4.. => far,
            number if is_full(number) => FULL,
            _ => IDLE,
        });
    }
    let later = now.plus(Millis(age));
    let spilled = (0..FLOWS).filter(|caller| {
        let to = first_target(&mut router, *caller, later);
        let is_far = to.is_some_and(|to| to.ip().octets()[3] >= 4);
        assert_eq!(is_far, router.take_spilled().is_some());
        is_far
    });
    let share = spilled.count() as f64 / f64::from(FLOWS);
    assert!((share - expected).abs() < 0.03, "{share}");
}

/// Guards against agents of the full data centre that aren't asked when the others have no free slot any
/// more either.
#[test]
fn a_spilled_flow_still_asks_near_agents() {
    let mut router = two_centres();
    let now = Millis(1_000);
    for _ in 0..2 {
        report(
            &mut router,
            8,
            now,
            |number| if number < 4 { FULL } else { IDLE },
        );
    }
    let RouteAction::Forward { header, .. } = router.route(&open_packet(1), now) else {
        panic!("the opening packet must be forwarded");
    };
    assert_eq!(header.rest.len(), 4);
    assert_eq!(header.near, 4);
}

fn refused_share(router: &mut FlowRouter, now: Millis) -> f64 {
    // Flows of the same remainder as a recent one aren't refused; among these few, less than 4% are.
    let flows = 600;
    let refused = (0..flows).filter(|caller| {
        let action = router.route(&open_packet(*caller), now);
        action == RouteAction::Refuse(DropCause::NoRoom)
    });
    refused.count() as f64 / f64::from(flows)
}

/// Guards against callers that pass five agents only to be refused, against refusals while any server has
/// room or is unknown, and against a service that isn't tried any more.
#[rstest]
#[case::all_overloaded(OVERLOADED, OVERLOADED, 0, 0.5)]
#[case::all_flooded(FLOODED, FLOODED, 0, 0.9)]
#[case::one_only_overloaded(FLOODED, OVERLOADED, 0, 0.5)]
#[case::one_has_room(FLOODED, FULL, 0, 0.0)]
#[case::one_is_of_an_older_build(FLOODED, AgentReport { work_us: 0, ..FLOODED }, 0, 0.0)]
#[case::one_drains(FLOODED, AgentReport { accepts: false, ..IDLE }, 0, 0.9)]
#[case::reports_are_old(FLOODED, FLOODED, 300, 0.0)]
fn a_service_without_room_refuses_early(
    #[case] others: AgentReport,
    #[case] one: AgentReport,
    #[case] age: u64,
    #[case] expected: f64,
) {
    let mut router = two_centres();
    let now = Millis(1_000);
    report(
        &mut router,
        8,
        now,
        |number| if number == 5 { one } else { others },
    );
    let share = refused_share(&mut router, now.plus(Millis(age)));
    assert!((share - expected).abs() < 0.05, "{share}");
}

/// Guards against the reset of a flow that another copy of its opening packet has opened: a retransmission,
/// one that has waited, or a duplicate of a packet that was forwarded.
#[test]
fn copies_of_opening_packets_are_not_refused() {
    let mut router = two_centres();
    let now = Millis(1_000);
    report(&mut router, 8, now, |_| IDLE);
    for caller in 0..1_000 {
        assert!(first_target(&mut router, caller, now).is_some());
    }
    report(&mut router, 8, now, |_| FLOODED);
    for caller in 0..2_000 {
        let duplicate = open_packet(caller);
        let retransmission = packet(caller, PacketKind::Open { retransmission: 1 });
        if caller < 1_000 {
            let action = router.route_late(&duplicate, now, now);
            assert!(matches!(action, RouteAction::Forward { .. }));
        } else {
            let action = router.route_late(&duplicate, Millis(800), now);
            assert!(matches!(action, RouteAction::Forward { .. }));
        }
        let action = router.route_late(&retransmission, now, now);
        assert!(matches!(action, RouteAction::Forward { .. }));
    }
}

/// Guards against a service that stays refused, or whose servers aren't asked for reports, since few flows
/// reach them: a balancer learns that room has returned only from reports.
#[test]
fn a_service_without_room_is_probed_and_recovers() {
    let mut router = two_centres();
    let mut now = Millis(1_000);
    report(&mut router, 8, now, |_| FLOODED);
    for _ in 0..10 {
        now = now.plus(Millis(100));
        router.update_weights(now);
        let probes = router.load_probes().to_vec();
        assert_eq!(probes.len(), 8);
        for address in probes {
            router.agents.apply_report(address, FLOODED, now);
        }
        assert!(refused_share(&mut router, now) > 0.4);
        now = now.plus(Millis(2_000));
        report(&mut router, 8, now, |_| FLOODED);
    }
    router.agents.apply_report(agent(3), IDLE, now);
    assert_eq!(refused_share(&mut router, now), 0.0);
    report(&mut router, 8, now, |_| IDLE);
    router.update_weights(now.plus(Millis(100)));
    assert_eq!(router.load_probes(), []);
}

/// Guards against weights that swing because several balancers act on reports of different age: servers
/// that look empty to all of them get all flows until the next reports.
#[rstest]
fn weights_settle_with_reports_of_different_age(#[values(100, 400, 900)] oldest: u64) {
    const AGENTS: u8 = 12;
    let mut routers: Vec<FlowRouter> = (0..4).map(|_| weighing_router(AGENTS)).collect();
    let mut flows: Vec<Vec<u64>> = vec![Vec::new(); usize::from(AGENTS)];
    let mut late_changes = 0;
    for step in 0..400_u64 {
        let now = Millis(1_000 + step * 100);
        for (index, router) in routers.iter_mut().enumerate() {
            for number in 0..AGENTS {
                let period =
                    (1 + (index as u64 * 3 + u64::from(number) * 7) % (oldest / 100)).max(1);
                if step % period == 0 {
                    let state = AgentReport {
                        work_us: if number % 3 == 0 { 62_000 } else { 26_000 },
                        open_flows: flows[usize::from(number)].len() as u32,
                        ..IDLE
                    };
                    router.agents.apply_report(agent(number), state, now);
                }
            }
            router.update_weights(now);
            if step >= 200 {
                late_changes += router.weight_changes().len();
            }
            for flow in 0..6 {
                let caller = (step * 97 + index as u64 * 31 + flow * 7_919) % 60_000;
                if let Some(to) = first_target(router, caller as u16, now) {
                    flows[usize::from(to.ip().octets()[3])].push(step + 100);
                }
            }
        }
        for ends in &mut flows {
            ends.retain(|end| *end > step);
        }
    }
    let loads = flows.iter().enumerate().map(|(number, ends)| {
        let slowness = if number % 3 == 0 { 2.4 } else { 1.0 };
        ends.len() as f64 * slowness
    });
    let loads: Vec<f64> = loads.collect();
    let mean = loads.iter().sum::<f64>() / f64::from(AGENTS);
    let busiest = loads.iter().copied().fold(0.0, f64::max);
    // Each of the 4 balancers decides 200 times about each of the 12 servers.
    assert!(late_changes < 9_600 / 20, "{late_changes} changes");
    assert!(busiest / mean < 1.35, "{loads:?}");
}
