//! Memory allocations while routing a packet.

use std::{
    alloc::{
        GlobalAlloc,
        Layout,
        System, //
    },
    cell::Cell,
    net::SocketAddrV4,
    sync::Arc,
};

use carobdrum_balancer::{
    PlanBuilder,
    PlanTarget,
    RouteDecision, //
};
use carobdrum_core::{
    connection::FlowOwner,
    version::{
        CentreId,
        FleetKey,
        KeyRing,
        ServiceId, //
    },
};

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the allocations of each thread.
struct CountingAllocator;

// SAFETY: All calls go to the system allocator unchanged; counting touches no allocated memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.with(|count| count.set(count.get() + 1));
        // SAFETY: The caller upholds the contract of `alloc`, which is that of the system
        // allocator.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        // SAFETY: The pointer was returned by the system allocator in `alloc` above.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Guards against a memory allocation for each packet of an established flow.
#[test]
fn established_packet_is_routed_without_allocation() {
    let keys = KeyRing::new(1, 0, [FleetKey::new(0, [3; 32])]);
    let agent: SocketAddrV4 = "127.44.0.1:7400"
        .parse()
        .expect("the address should be valid");
    let owner = FlowOwner {
        agent,
        service: ServiceId(1),
        centre: CentreId(1),
        incarnation: 1,
    };
    let id = keys
        .issuing_codec()
        .expect("the ring should have an issuing key")
        .seal(&owner, 1, 0);
    let mut packet = vec![0x40; 1_200];
    packet[1..=id.0.len()].copy_from_slice(&id.0);
    let mut builder = PlanBuilder::default().keys(Some(Arc::new(keys)));
    for port in 1..5_700 {
        builder = builder.target(PlanTarget {
            service: ServiceId(1),
            agent: SocketAddrV4::new(*agent.ip(), port),
            weight: 1.0,
        });
    }
    let plan = builder.build();
    let before = ALLOCATIONS.with(Cell::get);
    let decision = plan.route(ServiceId(1), &packet);
    let after = ALLOCATIONS.with(Cell::get);
    assert_eq!(decision, RouteDecision::Established(agent));
    assert_eq!(after - before, 0, "allocations while routing one packet");
}
