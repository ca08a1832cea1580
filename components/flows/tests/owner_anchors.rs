//! Owners that later packets wouldn't find by their rank.

mod support;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentReport,
    FlowRouter,
    PacketKind,
    RouteAction,
    TrackerAction, //
};
use rstest::rstest;
use support::{
    agent,
    backend,
    forward,
    header,
    key,
    open_packet,
    packet,
    router,
    tracker,
    BALANCER, //
};

/// More agents than the candidates of a later packet.
const AGENTS: u8 = 20;

const NOW: Millis = Millis(1_000);

/// Marks agents as having no free slot.
fn report_busy(router: &mut FlowRouter, agents: &[std::net::SocketAddrV4]) {
    for address in agents {
        let report = AgentReport {
            accepts: true,
            busy: 2,
            slots: 2,
            ..AgentReport::default()
        };
        router.agents.apply_report(*address, report, NOW);
    }
}

fn order(router: &mut FlowRouter, caller: u16) -> Vec<std::net::SocketAddrV4> {
    match router.route(&packet(caller, PacketKind::Data), NOW) {
        RouteAction::Forward { to, header } => std::iter::once(to).chain(header.rest).collect(),
        _ => Vec::new(),
    }
}

/// Guards against owners that only the balancer of the opening packet knows: they had a free slot
/// while the agents that later packets try first had none.
#[rstest]
#[case::all_free(0, false)]
#[case::the_first_four_are_busy(4, true)]
#[case::all_but_the_last_are_busy(AGENTS as usize - 1, true)]
fn names_anchors_for_owners_of_low_rank(#[case] busy: usize, #[case] has_anchors: bool) {
    let mut router = router(AGENTS);
    let list = order(&mut router, 1);
    let mut all: Vec<_> = list.clone();
    all.extend(
        (0..AGENTS)
            .map(agent)
            .filter(|address| !list.contains(address)),
    );
    report_busy(&mut router, &all[..busy]);
    let RouteAction::Forward { header, .. } = router.route(&open_packet(1), NOW) else {
        panic!("the opening packet must be forwarded");
    };
    let expected = if has_anchors { &list[..2] } else { &[] };
    assert_eq!(header.anchors, expected);
}

/// Guards against announcements for flows that don't open, and against anchors that never hear of
/// their flow.
#[test]
fn owner_announces_itself_when_the_flow_opens() {
    let mut tracker = tracker();
    let mut opening = header(&[]);
    opening.anchors = vec![agent(0), agent(5), agent(6)];
    let actions = forward(&mut tracker, &open_packet(1), opening, NOW);
    assert_eq!(actions, [TrackerAction::Deliver]);
    backend(&mut tracker, &packet(1, PacketKind::Accept), NOW);
    let actions = forward(&mut tracker, &packet(1, PacketKind::Data), header(&[]), NOW);
    let announced = |number| TrackerAction::AnnounceOwner(agent(number), key(1));
    assert_eq!(
        actions,
        [announced(5), announced(6), TrackerAction::Deliver],
        "agent 0 is the owner itself"
    );
    let actions = forward(&mut tracker, &packet(1, PacketKind::Data), header(&[]), NOW);
    assert_eq!(actions, [TrackerAction::Deliver]);
}

/// Guards against an anchor that searches the flow at its own server or along the list, although it
/// knows the owner.
#[test]
fn anchor_redirects_later_packets_to_the_owner() {
    let mut tracker = tracker();
    tracker.record_owner(key(1), agent(9), NOW);
    let actions = forward(
        &mut tracker,
        &packet(1, PacketKind::Data),
        header(&[1, 9, 2]),
        NOW,
    );
    let [TrackerAction::Redirect { to, header, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*to, agent(9));
    assert_eq!(header.rest, [agent(1), agent(2)]);
}

/// Guards against an announcement that outlives its flow and takes a new flow of the same caller's
/// port away from its owner.
#[test]
fn anchor_keeps_flows_of_its_own_server() {
    let mut tracker = tracker();
    tracker.record_owner(key(1), agent(9), NOW);
    support::open_flow(&mut tracker, 1, NOW);
    let actions = forward(
        &mut tracker,
        &packet(1, PacketKind::Data),
        header(&[9]),
        NOW,
    );
    assert_eq!(actions, [TrackerAction::Deliver]);
}

/// Guards against a balancer that sends each later packet along the whole list, although the owner
/// has got one.
#[test]
fn owner_announces_itself_to_a_balancer_that_searched() {
    let mut tracker = tracker();
    support::open_flow(&mut tracker, 1, NOW);
    let mut searched = header(&[]);
    searched.hops = 5;
    let actions = forward(&mut tracker, &packet(1, PacketKind::Data), searched, NOW);
    let announced = TrackerAction::AnnounceOwner(BALANCER, key(1));
    assert_eq!(actions, [announced, TrackerAction::Deliver]);
}
