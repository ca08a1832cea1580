//! Memory allocations of decisions about packets at a balancer.

#[path = "../examples/support/mod.rs"]
mod measuring;
mod support;

use carobdrum_core::Millis;
use carobdrum_flows::{
    FlowRouter,
    PacketKind,
    RouteAction, //
};
use support::{
    packet,
    router, //
};

fn route_all(router: &mut FlowRouter) {
    for caller in 0..2_000 {
        for kind in [PacketKind::Open { retransmission: 0 }, PacketKind::Data] {
            let action = router.route(&packet(caller, kind), Millis(10));
            let RouteAction::Forward { header, .. } = action else {
                panic!("every packet should be forwarded");
            };
            router.recycle(header);
        }
    }
}

/// Guards against an allocation for each packet, the cost of which grows with the rate of the callers.
#[test]
fn decisions_allocate_nothing_in_the_steady_state() {
    let mut router = router(200);
    router.options.weigh_servers = true;
    router.update_weights(Millis(0));
    route_all(&mut router);
    let before = measuring::allocations();
    route_all(&mut router);
    assert_eq!(measuring::allocations() - before, 0);
}
