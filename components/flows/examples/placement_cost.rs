//! Measures the cost of a placement decision for an opening packet at a balancer, without and with the
//! weights of the servers, in alternating rounds.
//!
//! Run as `cargo run --release -p carobdrum-flows --example placement_cost`.

mod support;

use std::{
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::Instant,
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
    FlowPacket,
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use support::{
    allocations,
    config,
    flow_packet,
    SERVICE, //
};

const CENTRES: [&str; 3] = ["north", "east", "south"];
const AGENTS: u32 = 200;
const ROUNDS: usize = 20;
const DECISIONS: u32 = 10_000;

fn main() {
    let mut routers = [router(false), router(true)];
    let mut best_ns = [u128::MAX; 2];
    let mut counts = [0; 2];
    for round in 0..ROUNDS {
        for (index, router) in routers.iter_mut().enumerate() {
            let before = allocations();
            let start = Instant::now();
            for number in 0..DECISIONS {
                let packet = opening(round as u32 * DECISIONS + number);
                if let RouteAction::Forward { header, .. } = black_box(router.route(&packet, NOW)) {
                    router.recycle(header);
                }
            }
            best_ns[index] = best_ns[index].min(start.elapsed().as_nanos());
            counts[index] = allocations() - before;
        }
    }
    for (name, index) in [("off", 0), ("on", 1)] {
        let time_us = best_ns[index] as f64 / f64::from(DECISIONS) / 1_000.0;
        let per_decision = counts[index] as f64 / f64::from(DECISIONS);
        println!("{name}: {time_us:.2} us, {per_decision:.3} allocations a decision");
    }
    println!("on/off: {:.2}", best_ns[1] as f64 / best_ns[0] as f64);
    let start = Instant::now();
    let before = allocations();
    for _ in 0..1_000 {
        routers[1].update_weights(NOW);
    }
    let time_us = start.elapsed().as_micros() as f64 / 1_000.0;
    let allocated = allocations() - before;
    println!("update of all weights: {time_us:.2} us, {allocated} allocations in 1000");
}

const NOW: Millis = Millis(10_000);

/// Returns a router that knows the reports of all agents, a third of which are slow.
fn router(weigh_servers: bool) -> FlowRouter {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000);
    let mut router = FlowRouter::new(balancer, CENTRES[0]);
    router.options.weigh_servers = weigh_servers;
    router.config = Some(Arc::new(config([(1, SERVICE, 1)])));
    let addresses = (0..AGENTS).map(|number| {
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 1, 0, 0)) + number);
        SocketAddrV4::new(ip, 8_000)
    });
    let addresses: Vec<SocketAddrV4> = addresses.collect();
    let records = addresses.iter().zip(CENTRES.iter().cycle());
    let records = records.map(|(address, centre)| AgentRecord {
        address: *address,
        centre: (*centre).into(),
        service: SERVICE.into(),
        is_leaving: false,
    });
    router.agents.replace(records, Millis(0));
    for (number, address) in addresses.iter().enumerate() {
        let report = AgentReport {
            accepts: true,
            busy: splitmix64(number as u64) as u32 % 4,
            slots: 3,
            is_confirmed: true,
            work_us: if number % 7 < 2 { 62_000 } else { 26_000 },
            open_flows: splitmix64(number as u64) as u32 % 40,
            ..AgentReport::default()
        };
        router.agents.apply_report(*address, report, NOW);
    }
    router.update_weights(NOW);
    router
}

fn opening(number: u32) -> FlowPacket {
    let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(100, 64, 0, 0)) + number / 60_000);
    let caller = SocketAddrV4::new(ip, 1_024 + (number % 60_000) as u16);
    flow_packet(caller, 1, PacketKind::Open { retransmission: 0 })
}
