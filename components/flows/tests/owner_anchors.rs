//! Owners that later packets wouldn't find by their rank.

mod support;

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        AgentReport, //
    },
    request::ForwardHeader,
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
    config,
    forward,
    header,
    key,
    open_packet,
    packet,
    router,
    tracker,
    BALANCER,
    SERVICE, //
};

/// More agents than the candidates of a later packet.
const AGENTS: u8 = 20;

const CENTRES: [&str; 4] = ["north", "east", "south", "west"];

const NOW: Millis = Millis(1_000);

/// Marks agents as having no free slot.
fn report_busy(router: &mut FlowRouter, agents: &[SocketAddrV4]) {
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

fn order(router: &mut FlowRouter, caller: u16) -> Vec<SocketAddrV4> {
    match router.route(&packet(caller, PacketKind::Data), NOW) {
        RouteAction::Forward { to, header } => std::iter::once(to).chain(header.rest).collect(),
        _ => Vec::new(),
    }
}

/// Guards against owners that only the balancer of the opening packet knows: they had a free slot
/// while the agents that later packets try first had none.
#[rstest]
#[case::all_free(0, true)]
#[case::the_first_four_are_busy(4, false)]
#[case::all_but_the_last_are_busy(AGENTS as usize - 1, false)]
fn tells_whether_the_owner_is_found_by_its_rank(#[case] busy: usize, #[case] is_firm: bool) {
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
    assert_eq!(header.anchors, &list[..2]);
    assert_eq!(header.is_firm, is_firm);
}

/// Guards against flows that get lost when their packets arrive in another data centre: after an
/// evacuation, when callers move, or when no balancer of theirs is ready.
#[test]
fn balancers_of_all_data_centres_list_the_same_anchors() {
    let records = |router: &mut FlowRouter| {
        let records = (0..AGENTS * 4).map(|number| AgentRecord {
            address: agent(number),
            centre: CENTRES[usize::from(number % 4)].into(),
            service: SERVICE.into(),
            is_leaving: false,
        });
        router.agents.replace(records, Millis(0));
    };
    for caller in 0..100 {
        let lists = CENTRES.map(|centre| {
            let mut router = FlowRouter::new(BALANCER, centre);
            let mut config = config(1);
            config.set_evacuated_centres(["south".into()]);
            router.config = Some(Arc::new(config));
            records(&mut router);
            let RouteAction::Forward { to, header } =
                router.route(&packet(caller, PacketKind::Data), NOW)
            else {
                panic!("the packet must be forwarded");
            };
            let mut anchors = header.anchors;
            anchors.sort();
            let list: Vec<_> = std::iter::once(to).chain(header.rest).collect();
            (anchors, list)
        });
        for (anchors, list) in &lists {
            assert_eq!(anchors, &lists[0].0);
            assert_eq!(anchors.len(), 2);
            assert!(anchors.iter().all(|anchor| list.contains(anchor)));
        }
    }
}

fn header_with_anchors(anchors: &[u8], is_firm: bool) -> ForwardHeader {
    ForwardHeader {
        anchors: anchors.iter().copied().map(agent).collect(),
        is_firm,
        ..header(&[])
    }
}

/// Returns the agents to which the owner announces flow 1 when a packet of the caller arrives.
fn announced(tracker: &mut FlowTracker, anchors: &[u8], now: Millis) -> Vec<SocketAddrV4> {
    let header = header_with_anchors(anchors, true);
    let actions = forward(tracker, &packet(1, PacketKind::Data), header, now);
    assert_eq!(actions.last(), Some(&TrackerAction::Deliver));
    let announced = actions.into_iter().filter_map(|action| match action {
        TrackerAction::AnnounceOwner(to, flow) => {
            assert_eq!(flow, key(1));
            Some(to)
        }
        _ => None,
    });
    announced.collect()
}

fn accept_flow(tracker: &mut FlowTracker, is_firm: bool) {
    let opening = header_with_anchors(&[5, 6], is_firm);
    let actions = forward(tracker, &open_packet(1), opening, NOW);
    assert_eq!(actions, [TrackerAction::Deliver]);
    backend(tracker, &packet(1, PacketKind::Accept), NOW);
}

/// Guards against announcements for flows that don't open, and against anchors that never get one.
#[test]
fn owner_of_low_rank_announces_itself_when_the_flow_opens() {
    let mut tracker = tracker();
    accept_flow(&mut tracker, false);
    assert_eq!(
        announced(&mut tracker, &[0, 5, 6], NOW),
        [agent(5), agent(6)]
    );
    assert_eq!(announced(&mut tracker, &[0, 5, 6], NOW), []);
}

/// Guards against announcements for flows of one request, and against long flows that get lost when
/// another data centre's balancers take their packets.
#[test]
fn owner_of_firm_rank_announces_itself_once_the_flow_is_long() {
    let mut tracker = tracker();
    accept_flow(&mut tracker, true);
    assert_eq!(announced(&mut tracker, &[5, 6], NOW), []);
    let later = NOW.plus(Millis(1_000));
    assert_eq!(
        announced(&mut tracker, &[5, 6], later),
        [agent(5), agent(6)]
    );
}

/// Guards against long flows that get lost while agents are replaced one by one.
#[test]
fn owner_announces_itself_to_anchors_that_have_joined() {
    let mut tracker = tracker();
    accept_flow(&mut tracker, false);
    assert_eq!(announced(&mut tracker, &[5, 6], NOW), [agent(5), agent(6)]);
    assert_eq!(announced(&mut tracker, &[6, 7], NOW), [agent(7)]);
    assert_eq!(announced(&mut tracker, &[5, 7], NOW), []);
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

/// Guards against idle flows that no anchor knows: a flow had its only request in its first
/// milliseconds, and its next packet arrives in another data centre seconds later.
#[test]
fn owner_announces_a_long_flow_without_packets() {
    let mut tracker = tracker();
    accept_flow(&mut tracker, true);
    assert_eq!(announced(&mut tracker, &[5, 6], NOW), []);
    let mut actions = Vec::new();
    tracker.announce_long_flows(NOW.plus(Millis(900)), &mut actions);
    assert_eq!(actions, []);
    let later = NOW.plus(Millis(1_000));
    tracker.announce_long_flows(later, &mut actions);
    let announce = |number| TrackerAction::AnnounceOwner(agent(number), key(1));
    assert_eq!(actions, [announce(5), announce(6)]);
    tracker.announce_long_flows(later, &mut actions);
    assert_eq!(actions.len(), 2);
}
