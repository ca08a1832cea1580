//! Comparison of the decisions of placement with those of the earlier algorithm.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        name_hash,
        AgentRecord,
        AgentReport, //
    },
    version::{
        FormerService,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use rstest::rstest;
use support::{
    agent,
    config,
    key,
    numbers::Numbers,
    packet,
    reference_order::{
        ReferenceAgent,
        ReferenceList,
        ReferenceSite, //
    },
    BALANCER,
    ROUTE, //
};

const CENTRES: [&str; 4] = ["north", "east", "south", "west"];
const SERVICES: [&str; 5] = ["lookup", "search", "index", "tiles", "names"];
const NOW: Millis = Millis(10_000);

/// Returns a random site.
fn random_site(numbers: &mut Numbers, weigh_servers: bool) -> ReferenceSite {
    let services = 1 + numbers.below(5);
    let centres = 1 + numbers.below(4);
    let mut route = config(1).routes()[0].clone();
    let shares = (0..1 + numbers.below(services)).map(|index| ServiceShare {
        service: SERVICES[index as usize].into(),
        weight: index as u32 % 3,
    });
    route.shares = shares.collect();
    let configs = SERVICES.iter().map(|name| ServiceConfig {
        name: (*name).into(),
        cold_duration: Millis(0),
        cold_rate: None,
    });
    let mut config = SiteConfig::new(1, Millis(15_000), [route], configs);
    let evacuated = CENTRES.iter().filter(|_| numbers.percent(15));
    config.set_evacuated_centres(evacuated.map(|name| (*name).into()).collect::<Vec<_>>());
    if numbers.percent(20) {
        config.history_complete_at = NOW.plus(Millis(1));
    }
    if numbers.percent(20) {
        config.former_services.insert(FormerService {
            address: ROUTE,
            service: SERVICES[4].into(),
            until: NOW.plus(Millis(1)),
        });
    }
    let failing = numbers.below(30);
    // Data centres of which all servers are busy are frequent, so that flows spill.
    let busy = CENTRES.map(|_| numbers.below(200));
    let agents = (0..1 + numbers.below(200)).map(|number| {
        let centre = numbers.below(centres) as usize;
        ReferenceAgent {
            record: AgentRecord {
                address: agent(number as u8),
                centre: CENTRES[centre].into(),
                service: SERVICES[numbers.below(services) as usize].into(),
                is_leaving: numbers.percent(5),
            },
            report: AgentReport {
                accepts: !numbers.percent(10),
                failure_percent: if numbers.percent(failing) { 30 } else { 29 },
                busy: if numbers.percent(busy[centre]) { 4 } else { 1 },
                slots: 3,
                is_confirmed: true,
                work_us: if numbers.percent(30) { 62_000 } else { 26_000 },
                open_flows: numbers.below(60) as u32,
                ..AgentReport::default()
            },
            last_heard: None,
            unanswered_since: None,
            is_full: [false; 2],
            eighths: 8,
        }
    });
    ReferenceSite {
        agents: agents.collect(),
        config,
        centre: name_hash(CENTRES[numbers.below(4) as usize]),
        weigh_servers,
        now: NOW,
    }
}

/// Returns the router of a balancer of the site, to which reports and packets arrive at random times; the
/// agents of the site learn of them as well.
fn start_router(numbers: &mut Numbers, site: &mut ReferenceSite) -> FlowRouter {
    let centre = CENTRES.iter().find(|name| name_hash(name) == site.centre);
    let mut router = FlowRouter::new(BALANCER, centre.unwrap());
    router.options.weigh_servers = site.weigh_servers;
    router.config = Some(Arc::new(site.config.clone()));
    let records = site.agents.iter().map(|agent| agent.record.clone());
    router.agents.replace(records, Millis(0));
    router.update_weights(Millis(0));
    // Reports are taken into account for 150 ms.
    let (span, fewest) = if numbers.percent(50) {
        (100, 2)
    } else {
        (400, 0)
    };
    for agent in &mut site.agents {
        let address = agent.record.address;
        let report = agent.report;
        agent.report = AgentReport {
            accepts: !agent.record.is_leaving,
            ..AgentReport::default()
        };
        for _ in 0..fewest + numbers.below(3) {
            let time = Millis(NOW.0 - numbers.below(span));
            router.agents.apply_report(address, report, time);
            agent.report = report;
            agent.last_heard = Some(time);
            agent.is_full = [report.busy >= report.slots, agent.is_full[0]];
        }
        if numbers.percent(20) {
            let time = Millis(NOW.0 - numbers.below(400));
            router.agents.note_sent(address, time);
            agent.unanswered_since = Some(time);
        }
    }
    router.update_weights(NOW);
    for change in router.weight_changes() {
        let changed = site.agents.iter_mut();
        let mut changed = changed.filter(|agent| agent.record.address == change.agent);
        changed.next().unwrap().eighths = change.eighths;
    }
    router
}

/// Returns the services that may hold a flow, the first one first.
fn services(site: &ReferenceSite, hash: u64) -> Vec<u32> {
    let route = site.config.route(ROUTE).unwrap();
    let former = site.config.former_services.services(ROUTE, NOW);
    let others = site.config.services().iter().map(|service| &service.name);
    let others = others.filter(|_| NOW < site.config.history_complete_at);
    let mut services = Vec::new();
    for name in route.services(hash).chain(former).chain(others) {
        if !services.contains(&name_hash(name)) {
            services.push(name_hash(name));
        }
    }
    services
}

/// Returns the decision about a packet as the list of its candidates, the target first.
fn decide(router: &mut FlowRouter, caller: u16, kind: PacketKind) -> ReferenceList {
    match router.route(&packet(caller, kind), NOW) {
        RouteAction::Forward { to, header } => {
            let spilled = router.take_spilled();
            let list = ReferenceList {
                agents: [to].iter().chain(&header.rest).copied().collect(),
                near: header.near,
                centre: header.centre_hash,
                anchors: header.anchors.clone(),
                is_firm: header.is_firm,
                spilled: spilled.map(|spilled| (spilled.near, spilled.full_twice)),
            };
            router.recycle(header);
            list
        }
        _ => ReferenceList::default(),
    }
}

/// Returns the list of a header, in which the target isn't counted as near.
fn sent(list: ReferenceList) -> ReferenceList {
    if list.agents.is_empty() {
        return ReferenceList::default();
    }
    ReferenceList {
        near: list.near.saturating_sub(1),
        ..list
    }
}

/// Guards against another order or choice of candidates than before the decision was made cheaper, with
/// which balancers of different builds would search each other's flows, and against vectors that are reused
/// with their former content.
#[rstest]
#[case::unweighted(false, 1)]
#[case::weighted(true, 2)]
fn decisions_are_those_of_the_earlier_algorithm(#[case] weigh_servers: bool, #[case] seed: u64) {
    let mut numbers = Numbers(seed);
    let (mut forwarded, mut spilled, mut firm) = (0, 0, 0);
    for _ in 0..1_500 {
        let mut site = random_site(&mut numbers, weigh_servers);
        let mut router = start_router(&mut numbers, &mut site);
        for caller in 0..10 {
            let hash = key(caller).hash();
            let services = services(&site, hash);
            let opening = site.list_opening(services[0], hash);
            let later = site.list_later(&services, hash);
            assert_eq!(
                decide(&mut router, caller, PacketKind::Data),
                sent(later.clone())
            );
            let kind = PacketKind::Open { retransmission: 0 };
            assert_eq!(decide(&mut router, caller, kind), sent(opening.clone()));
            forwarded += usize::from(!opening.agents.is_empty());
            spilled += usize::from(opening.spilled.is_some());
            firm += usize::from(opening.is_firm);
            let own_later = site.list_later(&services[..1], hash);
            let mut expected = later;
            if let Some(owner) = opening.agents.first() {
                if own_later.agents.first() != Some(owner) && !expected.agents.is_empty() {
                    expected.agents.retain(|agent| agent != owner);
                    expected.agents.insert(0, *owner);
                }
            }
            assert_eq!(
                decide(&mut router, caller, PacketKind::Data),
                sent(expected),
                "with the remembered owner"
            );
        }
    }
    assert!(forwarded > 10_000 && firm > 500, "{forwarded} {firm}");
    assert_eq!(spilled > 200, weigh_servers, "{spilled}");
}
