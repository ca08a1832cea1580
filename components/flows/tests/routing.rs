//! Routing decisions of balancers.

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
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use rstest::rstest;
use support::{
    agent,
    open_packet,
    packet,
    router, //
    CENTRE,
    SERVICE,
};

/// Time after which an agent that doesn't answer is certainly suspect.
const SILENCE: Millis = Millis(400);

/// Returns the candidates of a packet, in order.
fn targets(action: &RouteAction) -> Vec<std::net::SocketAddrV4> {
    match action {
        RouteAction::Forward { to, header } => {
            let mut list = vec![*to];
            list.extend(&header.rest);
            list
        }
        _ => Vec::new(),
    }
}

/// Guards against the reset of a flow that a later copy of its opening packet has opened, by a balancer that
/// was paused while the first one waited in its socket.
#[rstest]
#[case::just_arrived(Millis(900), true)]
#[case::may_have_waited(Millis(850), false)]
fn refuses_no_opening_packet_that_has_waited(#[case] arrived: Millis, #[case] is_refused: bool) {
    let now = Millis(1_000);
    let mut router = router(0);
    let action = router.route_late(&open_packet(1), arrived, now);
    assert_eq!(matches!(action, RouteAction::Refuse(_)), is_refused);
    let record = AgentRecord {
        address: agent(0),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        is_leaving: false,
    };
    router.agents.insert(record, now);
    let action = router.route_late(&open_packet(1), arrived, now);
    assert!(
        matches!(action, RouteAction::Forward { header, .. } if header.delivered != is_refused)
    );
}

/// Guards against an opening packet that is lost because one of its later candidates is dead.
#[test]
fn excludes_silent_agents_from_candidates_of_opening_packets() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    assert_eq!(first.len(), 3);
    let silent = first[0];
    for other in &first[1..] {
        let report = AgentReport {
            accepts: true,
            ..AgentReport::default()
        };
        router.agents.apply_report(*other, report, SILENCE);
    }
    let later = targets(&router.route(&open_packet(1), SILENCE));
    assert!(!later.contains(&silent));
    assert_eq!(later.len(), 2);
}

/// Guards against flows that break because their owner is merely suspect.
#[test]
fn keeps_silent_agents_as_candidates_of_open_flows() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    let later = targets(&router.route(&packet(1, PacketKind::Data), SILENCE));
    assert!(later.contains(&first[0]));
}

/// Guards against dead agents that stay unnoticed because they are never the first candidate.
#[test]
fn probes_candidates_without_a_report() {
    let mut router = router(3);
    let listed = targets(&router.route(&open_packet(1), Millis(0)));
    let mut probed = router.agents.next_probes(Millis(100));
    probed.sort();
    let mut listed = listed;
    listed.sort();
    assert_eq!(probed, listed);
}

/// Guards against a dead first candidate that gets all copies of an opening packet.
#[test]
fn starts_retransmissions_at_other_candidates() {
    let mut router = router(3);
    let first = targets(&router.route(&open_packet(1), Millis(0)));
    let retransmission = packet(1, PacketKind::Open { retransmission: 1 });
    let second = targets(&router.route(&retransmission, Millis(0)));
    assert_eq!(second[0], first[1]);
}

/// Guards against owners that lose their rank when an agent joins.
#[test]
fn moves_owners_by_at_most_one_rank_when_an_agent_joins() {
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

fn report_failures(router: &mut carobdrum_flows::FlowRouter, failing: &[std::net::SocketAddrV4]) {
    for address in failing {
        let report = AgentReport {
            accepts: true,
            failure_percent: 90,
            ..AgentReport::default()
        };
        router.agents.apply_report(*address, report, Millis(0));
    }
}

/// Guards against new flows at a failing server, and against a server that is never tried again.
#[test]
fn sends_few_flows_to_a_failing_server() {
    let mut router = router(4);
    report_failures(&mut router, &[agent(0)]);
    let flows = (0..1_000).map(|caller| targets(&router.route(&open_packet(caller), Millis(0))));
    let sent = flows.filter(|list| list.contains(&agent(0))).count();
    assert!((10..100).contains(&sent), "{sent} of 1000");
}

/// Guards against ejections that leave too few servers for the load.
#[test]
fn keeps_all_servers_when_most_of_them_fail() {
    let mut router = router(4);
    report_failures(&mut router, &[agent(0), agent(1)]);
    let list = targets(&router.route(&open_packet(1), Millis(0)));
    assert_eq!(list.len(), 4);
}

/// Guards against an owner that later packets don't find: it was the first candidate only because
/// others accepted no flows at that time, and agents that joined since have displaced it from the
/// list.
#[test]
fn caches_an_owner_that_later_packets_would_not_try_first() {
    let mut router = router(9);
    let order = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    let draining = AgentReport::default();
    for busy in &order[..3] {
        router.agents.apply_report(*busy, draining, Millis(0));
    }
    let owner = targets(&router.route(&open_packet(1), Millis(0)))[0];
    assert_eq!(owner, order[3]);
    let later = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    assert_eq!(later[0], owner);
}

/// Guards against flows that break when the router moves them to another balancer, which has not
/// cached their owners.
#[test]
fn lists_more_agents_for_later_packets_than_for_opening_ones() {
    let mut router = router(9);
    let opening = targets(&router.route(&open_packet(1), Millis(0)));
    let later = targets(&router.route(&packet(1, PacketKind::Data), Millis(0)));
    assert!(later.len() >= opening.len() + 3);
    assert!(opening.iter().all(|candidate| later.contains(candidate)));
}

/// Guards against later packets that first go to the agents of an evacuated data centre, where no
/// flow has opened since.
#[test]
fn tries_agents_of_evacuated_centres_last() {
    let mut router = router(3);
    let mut config = support::config(2);
    config.set_evacuated_centres([support::CENTRE.into()]);
    router.config = Some(Arc::new(config));
    router.agents.insert(
        AgentRecord {
            address: agent(9),
            centre: "south".into(),
            service: support::SERVICE.into(),
            is_leaving: false,
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

/// Guards against refused flows of callers whose data centre is evacuated: with two candidates in
/// all other data centres together, most of them found no free slot after an outage.
#[test]
fn lists_as_many_agents_when_the_callers_centre_is_evacuated() {
    let mut router = router(3);
    let mut config = support::config(2);
    config.set_evacuated_centres([support::CENTRE.into()]);
    router.config = Some(Arc::new(config));
    for number in 10..30 {
        router.agents.insert(
            AgentRecord {
                address: agent(number),
                centre: if number < 20 { "south" } else { "east" }.into(),
                service: support::SERVICE.into(),
                is_leaving: false,
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

/// Guards against open flows of an evacuated data centre whose owner is no longer a candidate
/// because agents of the other data centres fill the list.
#[test]
fn lists_agents_of_an_evacuated_centre_for_open_flows() {
    let mut router = router(3);
    let others = ["south", "east", "west", "coast"];
    for (index, centre) in others.into_iter().enumerate() {
        for number in 0..8 {
            router.agents.insert(
                AgentRecord {
                    address: agent(10 * (index as u8 + 1) + number),
                    centre: centre.into(),
                    service: support::SERVICE.into(),
                    is_leaving: false,
                },
                Millis(0),
            );
        }
    }
    let before: Vec<_> = (0..100)
        .map(|caller| targets(&router.route(&open_packet(caller), Millis(0)))[0])
        .collect();
    let mut config = support::config(2);
    config.set_evacuated_centres([support::CENTRE.into()]);
    router.config = Some(Arc::new(config));
    for (caller, owner) in before.into_iter().enumerate() {
        let later = packet(caller as u16, PacketKind::Data);
        assert!(targets(&router.route(&later, Millis(0))).contains(&owner));
    }
}

/// Guards against packets lost at an agent that ended right after it wrote its store entry. A new
/// agent answers a probe at once, so a silent one is excluded sooner than one that has reported.
#[test]
fn excludes_a_new_agent_that_does_not_answer_its_first_probe() {
    let mut router = router(3);
    let probed = router.agents.next_probes(Millis(0));
    assert_eq!(probed.len(), 3);
    let report = AgentReport {
        accepts: true,
        ..AgentReport::default()
    };
    for heard in &probed[..2] {
        router.agents.apply_report(*heard, report, Millis(10));
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
        is_leaving: false,
    };
    router.agents.insert(record, soon);
    assert!(router.agents.next_probes(soon).contains(&silent));
}

/// Returns whether the agent is a candidate of new flows.
fn is_offered(router: &mut FlowRouter, agent: SocketAddrV4) -> bool {
    (0..20).any(|caller| targets(&router.route(&open_packet(caller), Millis(0))).contains(&agent))
}

/// Guards against new flows at a server that is leaving, after its agent or the balancer was
/// restarted: a new agent doesn't know the state of its server before the first heartbeat.
#[rstest]
#[case::known_from_a_report(false)]
#[case::known_from_the_store(true)]
fn a_restarted_agent_does_not_undo_that_its_server_is_leaving(#[case] is_in_store: bool) {
    let mut router = router(3);
    let report = |accepts, is_confirmed| AgentReport {
        accepts,
        is_confirmed,
        ..AgentReport::default()
    };
    if is_in_store {
        let record = AgentRecord {
            address: agent(0),
            centre: support::CENTRE.into(),
            service: support::SERVICE.into(),
            is_leaving: true,
        };
        router.agents.insert(record, Millis(0));
    } else {
        let left = report(false, true);
        router.agents.apply_report(agent(0), left, Millis(0));
    }
    assert!(!is_offered(&mut router, agent(0)));
    let restarted = report(true, false);
    router.agents.apply_report(agent(0), restarted, Millis(0));
    assert!(!is_offered(&mut router, agent(0)));
    let next_run = report(true, true);
    router.agents.apply_report(agent(0), next_run, Millis(0));
    assert!(is_offered(&mut router, agent(0)));
}

/// Guards against an agent that gets no flows because another writer has replaced its entry in the
/// store, by one that names another service or data centre: the agent's own report decides.
#[test]
fn the_report_of_an_agent_corrects_its_store_entry() {
    let mut router = router(3);
    let record = |centre: &str, service: &str| AgentRecord {
        address: agent(0),
        centre: centre.into(),
        service: service.into(),
        is_leaving: false,
    };
    router
        .agents
        .insert(record("nowhere", "another"), Millis(0));
    assert!(!is_offered(&mut router, agent(0)));
    let reported = record(support::CENTRE, support::SERVICE);
    assert!(router.agents.discover(reported.clone(), Millis(0)));
    assert!(is_offered(&mut router, agent(0)));
    assert!(!router.agents.discover(reported, Millis(0)));
    router.agents.expire(Millis(10_000));
    assert!(
        is_offered(&mut router, agent(0)),
        "its entry hasn't expired"
    );
}
