//! Order of candidates without weights.

mod support;

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};
use carobdrum_flows::{
    process::{
        AgentRecord,
        AgentReport, //
    },
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use support::{
    numbers::Numbers,
    packet,
    BALANCER,
    ROUTE, //
};

const CENTRES: [&str; 4] = ["north", "east", "south", "west"];
const SERVICES: [&str; 5] = ["lookup", "search", "index", "tiles", "names"];

/// Returns a router of a random site, at a time at which some reports are old.
fn random_router(numbers: &mut Numbers, now: Millis) -> FlowRouter {
    let mut router = FlowRouter::new(BALANCER, CENTRES[numbers.below(4) as usize]);
    let services = 1 + numbers.below(5);
    let centres = 1 + numbers.below(4);
    let shares = (0..1 + numbers.below(services)).map(|index| ServiceShare {
        service: SERVICES[index as usize].into(),
        weight: index as u32 % 3,
    });
    let route = FlowRoute {
        address: ROUTE,
        shares: shares.collect(),
        priority: 1,
        latency_objective: Millis(120),
        is_idempotent: false,
    };
    let configs = SERVICES.iter().map(|name| ServiceConfig {
        name: (*name).into(),
        cold_duration: Millis(0),
        cold_rate: None,
    });
    let mut config = SiteConfig::new(1, Millis(15_000), [route], configs);
    let evacuated = CENTRES.iter().filter(|_| numbers.percent(15));
    config.set_evacuated_centres(evacuated.map(|name| (*name).into()).collect::<Vec<_>>());
    if numbers.percent(30) {
        config.history_complete_at = now.plus(Millis(1));
    }
    router.config = Some(Arc::new(config));
    let count = 1 + numbers.below(120);
    let records: Vec<AgentRecord> = (0..count)
        .map(|number| AgentRecord {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number as u8), 8_000),
            centre: CENTRES[numbers.below(centres) as usize].into(),
            service: SERVICES[numbers.below(services) as usize].into(),
            is_leaving: numbers.percent(5),
        })
        .collect();
    router.agents.replace(records.clone(), Millis(0));
    let busy_percent = numbers.below(100);
    for record in &records {
        if numbers.percent(20) {
            router.agents.note_sent(record.address, Millis(0));
        }
        if numbers.percent(90) {
            let report = AgentReport {
                accepts: !numbers.percent(10),
                failure_percent: if numbers.percent(10) { 60 } else { 0 },
                busy: if numbers.percent(busy_percent) { 4 } else { 1 },
                slots: 3,
                is_confirmed: true,
                ..AgentReport::default()
            };
            let time = Millis(now.0 - numbers.below(300));
            router.agents.apply_report(record.address, report, time);
        }
        if numbers.percent(10) {
            let time = Millis(now.0 - numbers.below(300));
            router.agents.note_sent(record.address, time);
        }
    }
    router
}

/// Guards against another order of candidates than before the weights were introduced, which would make
/// balancers of different versions search each other's flows.
#[test]
fn the_order_is_that_of_earlier_versions() {
    let mut numbers = Numbers(1);
    let now = Millis(1_000);
    let mut digest = 0;
    let mut add = |number: u64| digest = splitmix64(digest ^ number);
    for _ in 0..2_000 {
        let mut router = random_router(&mut numbers, now);
        for _ in 0..10 {
            let caller = numbers.below(60_000) as u16;
            let retransmission = numbers.below(3) as u8;
            let opening = PacketKind::Open { retransmission };
            for kind in [opening, PacketKind::Data] {
                let packet = packet(caller, kind);
                let RouteAction::Forward { to, header } = router.route(&packet, now) else {
                    add(1);
                    continue;
                };
                add(u64::from(header.near) << 32 | u64::from(header.centre_hash));
                add(u64::from(header.is_firm));
                for address in [to].iter().chain(&header.rest).chain(&header.anchors) {
                    add(u64::from(address.ip().octets()[3]));
                }
            }
        }
    }
    assert_eq!(
        digest, 12_097_438_377_687_481_635,
        "digest of the decisions of version d0ea3bb"
    );
}
