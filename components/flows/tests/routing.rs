//! Where balancers send packets.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        AgentReport, //
    },
    PacketKind,
    RouteAction, //
};
use support::{
    agent,
    open_packet,
    packet,
    router, //
};

/// Time after which an agent that doesn't answer is suspect.
const SILENCE: Millis = Millis(400);

/// Returns the candidates of a packet, in order.
fn targets(action: &RouteAction) -> Vec<std::net::SocketAddrV4> {
    match action {
        RouteAction::Forward { to, head } => {
            let mut list = vec![*to];
            list.extend(&head.rest);
            list
        }
        _ => Vec::new(),
    }
}

/// Guards against an opening packet that is lost because one of its later candidates is dead.
#[test]
fn leaves_silent_agents_out_of_opening_lists() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    assert_eq!(first.len(), 3);
    let silent = first[0];
    for other in &first[1..] {
        let report = AgentReport {
            accepts: true,
            ..AgentReport::default()
        };
        router.roster.take_report(*other, report, SILENCE);
    }
    let later = targets(&router.route(&open_packet(1), SILENCE));
    assert!(!later.contains(&silent));
    assert_eq!(later.len(), 2);
}

/// Guards against flows that are cut because their owner is only suspected to be dead.
#[test]
fn keeps_silent_agents_in_lists_of_open_flows() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    let later = targets(&router.route(&packet(1, PacketKind::Data), SILENCE));
    assert!(later.contains(&first[0]));
}

/// Guards against dead agents that no balancer notices because they are never the first candidate.
#[test]
fn probes_candidates_that_were_not_heard() {
    let mut router = router(3);
    let listed = targets(&router.route(&open_packet(1), Millis(0)));
    let mut probed = router.roster.take_probes(Millis(100));
    probed.sort();
    let mut listed = listed;
    listed.sort();
    assert_eq!(probed, listed);
}

/// Guards against a dead first candidate that takes all copies of an opening packet.
#[test]
fn starts_copies_at_other_candidates() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    let retransmission = packet(1, PacketKind::Open { retransmission: 1 });
    let second = targets(&router.route(&retransmission, Millis(0)));
    assert_eq!(second[0], first[1]);
}

/// Guards against owners that move when an agent joins.
#[test]
fn moves_owners_by_one_place_when_an_agent_joins() {
    let mut router = router(4);
    for caller in 0..200 {
        let before = targets(&router.route(&packet(caller, PacketKind::Data), Millis(0)));
        let mut grown = support::router(5);
        let after = targets(&grown.route(&packet(caller, PacketKind::Data), Millis(0)));
        let place = after.iter().position(|found| *found == before[0]);
        assert!(place.is_some_and(|place| place <= 1));
        assert!(after.contains(&agent(0)) || after.len() == 4);
    }
}

fn fail(router: &mut carobdrum_flows::FlowRouter, failing: &[std::net::SocketAddrV4]) {
    for address in failing {
        let report = AgentReport {
            accepts: true,
            failure_percent: 90,
            ..AgentReport::default()
        };
        router.roster.take_report(*address, report, Millis(0));
    }
}

/// Guards against flows at a server that fails requests, and against never trying it again.
#[test]
fn sends_few_flows_to_a_failing_server() {
    let mut router = router(4);
    fail(&mut router, &[agent(0)]);
    let flows = (0..1_000).map(|caller| targets(&router.route(&open_packet(caller), Millis(0))));
    let sent = flows.filter(|list| list.contains(&agent(0))).count();
    assert!((10..100).contains(&sent), "{sent} of 1000");
}

/// Guards against an ejection that leaves the load to too few servers.
#[test]
fn keeps_all_servers_when_most_of_them_fail() {
    let mut router = router(4);
    fail(&mut router, &[agent(0), agent(1)]);
    let list = targets(&router.route(&open_packet(1), Millis(0)));
    assert_eq!(list.len(), 4);
}

/// Guards against an owner that later packets don't find: it was the first candidate only because
/// others took no flows when the flow opened, and agents that joined pushed it out of the list.
#[test]
fn remembers_an_owner_that_later_packets_would_not_try_first() {
    let mut router = router(9);
    let order = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    let draining = AgentReport::default();
    for busy in &order[..3] {
        router.roster.take_report(*busy, draining, Millis(0));
    }
    let owner = targets(&router.route(&open_packet(1), Millis(0)))[0];
    assert_eq!(owner, order[3]);
    let later = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    assert_eq!(later[0], owner);
}

/// Guards against flows that break when the router changes their balancer, which has no hint.
#[test]
fn lists_more_agents_for_later_packets_than_for_opening_ones() {
    let mut router = router(9);
    let opening = targets(&router.route(&open_packet(1), Millis(0)));
    let later = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    assert!(later.len() >= opening.len() + 3);
    assert!(opening.iter().all(|candidate| later.contains(candidate)));
}

/// Guards against packets that each ask the agents of a data centre that is taken out first, where
/// no flow has opened since.
#[test]
fn tries_agents_of_closed_centres_last() {
    let mut router = router(3);
    let mut rules = support::rules(2);
    rules.close_centres([support::CENTRE.into()]);
    router.rules = Some(Arc::new(rules));
    router.roster.insert(
        AgentRecord {
            address: agent(9),
            centre: "south".into(),
            service: support::SERVICE.into(),
        },
        Millis(0),
    );
    for caller in 0..50 {
        let later = targets(&router.route(&packet(caller, PacketKind::Data), Millis(0)));
        assert_eq!(later[0], agent(9));
        assert_eq!(later.len(), 4);
        let opening = targets(&router.route(&open_packet(caller), Millis(0)));
        assert_eq!(opening, [agent(9)]);
    }
}

/// Guards against flows that are refused because their data centre is taken out: with two candidates
/// in all other data centres, most of them found no free slot after an outage.
#[test]
fn lists_as_many_agents_when_the_data_centre_of_the_caller_is_out() {
    let mut router = router(3);
    let mut rules = support::rules(2);
    rules.close_centres([support::CENTRE.into()]);
    router.rules = Some(Arc::new(rules));
    for number in 10..30 {
        router.roster.insert(
            AgentRecord {
                address: agent(number),
                centre: if number < 20 { "south" } else { "east" }.into(),
                service: support::SERVICE.into(),
            },
            Millis(0),
        );
    }
    let south: Vec<_> = (10..20).map(agent).collect();
    let mut in_south = 0;
    for caller in 0..100 {
        let opening = targets(&router.route(&open_packet(caller), Millis(0)));
        assert_eq!(opening.len(), 5);
        let same =
            |found: &std::net::SocketAddrV4| south.contains(found) == south.contains(&opening[0]);
        assert!(opening[..4].iter().all(same));
        in_south += usize::from(south.contains(&opening[0]));
        let later = targets(&router.route(&packet(caller, PacketKind::Data), Millis(0)));
        assert_eq!(later[0], opening[0]);
    }
    assert!((25..75).contains(&in_south), "{in_south} of 100");
}

/// Guards against flows that opened in a data centre before it was taken out, and whose owner is no
/// longer among the candidates because the other data centres fill the list.
#[test]
fn lists_agents_of_a_centre_that_was_taken_out_for_open_flows() {
    let mut router = router(3);
    let others = ["south", "east", "west", "coast"];
    for (index, centre) in others.into_iter().enumerate() {
        for number in 0..8 {
            router.roster.insert(
                AgentRecord {
                    address: agent(10 * (index as u8 + 1) + number),
                    centre: centre.into(),
                    service: support::SERVICE.into(),
                },
                Millis(0),
            );
        }
    }
    let before: Vec<_> = (0..100)
        .map(|caller| targets(&router.route(&open_packet(caller), Millis(0)))[0])
        .collect();
    let mut rules = support::rules(2);
    rules.close_centres([support::CENTRE.into()]);
    router.rules = Some(Arc::new(rules));
    for (caller, owner) in before.into_iter().enumerate() {
        let later = packet(caller as u16, PacketKind::Data);
        assert!(targets(&router.route(&later, Millis(0))).contains(&owner));
    }
}

/// Guards against packets that are lost at an agent which ended right after it wrote its key: a new
/// agent answers a probe at once, so a silent one is left out sooner than one that was heard.
#[test]
fn leaves_a_new_agent_out_that_does_not_answer_its_first_probe() {
    let mut router = router(3);
    let probed = router.roster.take_probes(Millis(0));
    assert_eq!(probed.len(), 3);
    let report = AgentReport {
        accepts: true,
        ..AgentReport::default()
    };
    for heard in &probed[..2] {
        router.roster.take_report(*heard, report, Millis(10));
    }
    let silent = probed[2];
    let soon = Millis(80);
    for caller in 0..20 {
        let opening = targets(&router.route(&open_packet(caller), soon));
        assert!(!opening.contains(&silent));
        let later = targets(&router.route(&packet(caller, PacketKind::Data), soon));
        assert_eq!(later.last(), Some(&silent));
    }
    let record = AgentRecord {
        address: silent,
        centre: support::CENTRE.into(),
        service: support::SERVICE.into(),
    };
    router.roster.insert(record, soon);
    assert!(router.roster.take_probes(soon).contains(&silent));
}
