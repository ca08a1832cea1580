//! Counter of allocations and fixtures for the measurements.

#![allow(dead_code, reason = "each measurement uses a part")]

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowKey,
    FlowPacket,
    PacketKind, //
};

/// Service of the measured flows.
pub(crate) const SERVICE: &str = "lookup";

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

/// Counts allocations.
struct CountingAllocator;

// SAFETY: Every call is passed to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        // SAFETY: The caller keeps the contract, which is the same.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The caller keeps the contract, which is the same.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Returns the number of allocations since the start.
pub(crate) fn allocations() -> u64 {
    ALLOCATIONS.load(Ordering::Relaxed)
}

/// Returns the address of a route.
pub(crate) fn route_address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, number), 443)
}

/// Returns a configuration with these routes: the number of each one's address, its service and its
/// priority.
pub(crate) fn config<'a>(routes: impl IntoIterator<Item = (u8, &'a str, u8)>) -> SiteConfig {
    let routes = routes
        .into_iter()
        .map(|(number, service, priority)| FlowRoute {
            address: route_address(number),
            shares: vec![ServiceShare {
                service: service.into(),
                weight: 1,
            }],
            priority,
            latency_objective: Millis(300),
            is_idempotent: false,
        });
    let service = ServiceConfig {
        name: SERVICE.into(),
        cold_duration: Millis(2_000),
        cold_rate: None,
    };
    SiteConfig::new(1, Millis(15_000), routes, [service])
}

/// Returns a packet without data of a caller on the route of this number.
pub(crate) fn flow_packet(caller: SocketAddrV4, route: u8, kind: PacketKind) -> FlowPacket {
    FlowPacket {
        key: FlowKey {
            caller,
            service_address: route_address(route),
        },
        kind,
        returned: false,
        sequence: 0,
        acknowledged: 0,
        data_len: 0,
    }
}
