//! Measures the cost of a placement decision for an opening packet at a balancer, without and with the
//! weights of the servers, in alternating rounds.
//!
//! Run as `cargo run --release -p carobdrum-flows --example placement_cost`.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    hint::black_box,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::{
        atomic::{
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
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
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowKey,
    FlowPacket,
    FlowRouter,
    PacketKind, //
};

const CENTRES: [&str; 3] = ["north", "east", "south"];
const AGENTS: u32 = 200;
const ROUNDS: usize = 20;
const DECISIONS: u32 = 10_000;
const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

struct CountingAllocator;

// SAFETY: All calls go to the system allocator unchanged; counting touches no allocated memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`, which is that of the system allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The pointer was returned by the system allocator in `alloc` above.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    let mut routers = [router(false), router(true)];
    let mut best_ns = [u128::MAX; 2];
    let mut allocations = [0; 2];
    for round in 0..ROUNDS {
        for (index, router) in routers.iter_mut().enumerate() {
            let before = ALLOCATIONS.load(Ordering::Relaxed);
            let start = Instant::now();
            for number in 0..DECISIONS {
                let packet = opening(round as u32 * DECISIONS + number);
                black_box(router.route(&packet, NOW));
            }
            best_ns[index] = best_ns[index].min(start.elapsed().as_nanos());
            allocations[index] = ALLOCATIONS.load(Ordering::Relaxed) - before;
        }
    }
    for (name, index) in [("off", 0), ("on", 1)] {
        let time_us = best_ns[index] as f64 / f64::from(DECISIONS) / 1_000.0;
        let per_decision = allocations[index] as f64 / f64::from(DECISIONS);
        println!("{name}: {time_us:.2} us, {per_decision:.3} allocations a decision");
    }
    println!("on/off: {:.2}", best_ns[1] as f64 / best_ns[0] as f64);
    let start = Instant::now();
    let before = ALLOCATIONS.load(Ordering::Relaxed);
    for _ in 0..1_000 {
        routers[1].update_weights(NOW);
    }
    let time_us = start.elapsed().as_micros() as f64 / 1_000.0;
    let allocated = ALLOCATIONS.load(Ordering::Relaxed) - before;
    println!("update of all weights: {time_us:.2} us, {allocated} allocations in 1000");
}

const NOW: Millis = Millis(10_000);

/// Returns a router that knows the reports of all agents, a third of which are slow.
fn router(weigh_servers: bool) -> FlowRouter {
    let balancer = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000);
    let mut router = FlowRouter::new(balancer, CENTRES[0]);
    router.options.weigh_servers = weigh_servers;
    let route = FlowRoute {
        address: ROUTE,
        shares: vec![ServiceShare {
            service: "lookup".into(),
            weight: 1,
        }],
        priority: 1,
        latency_objective: Millis(250),
        is_idempotent: false,
    };
    let service = ServiceConfig {
        name: "lookup".into(),
        cold_duration: Millis(0),
        cold_rate: None,
    };
    router.config = Some(Arc::new(SiteConfig::new(
        1,
        Millis(15_000),
        [route],
        [service],
    )));
    let addresses = (0..AGENTS).map(|number| {
        let ip = Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 1, 0, 0)) + number);
        SocketAddrV4::new(ip, 8_000)
    });
    let addresses: Vec<SocketAddrV4> = addresses.collect();
    let records = addresses.iter().zip(CENTRES.iter().cycle());
    let records = records.map(|(address, centre)| AgentRecord {
        address: *address,
        centre: (*centre).into(),
        service: "lookup".into(),
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
    FlowPacket {
        key: FlowKey {
            caller: SocketAddrV4::new(ip, 1_024 + (number % 60_000) as u16),
            service_address: ROUTE,
        },
        kind: PacketKind::Open { retransmission: 0 },
        returned: false,
        sequence: 0,
        acknowledged: 0,
        data_len: 0,
    }
}
