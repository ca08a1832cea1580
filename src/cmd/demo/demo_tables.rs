//! Tables of the demonstration.

use std::net::SocketAddrV4;

use carobdrum_core::version::{
    CentreEntry,
    CentreState,
    PoolEntry,
    PoolState,
    PoolTable,
    PriorityClass,
    RouteEntry,
    RouteTable, //
};

/// The service.
pub(super) const SERVICE: &str = "placename-api";
/// The data centres.
pub(super) const CENTRES: [&str; 2] = ["galway-a", "ennis-a"];
/// The data centre that is taken out.
pub(super) const OUT_CENTRE: &str = CENTRES[1];
/// Requests that a server may run at once.
pub(super) const SLOTS: u32 = 8;

/// Time limit of a request, in milliseconds.
const TIMEOUT_MS: u32 = 5_000;
/// Connections that an agent may hold.
const CONNECTIONS: u32 = 2_000;

/// Returns the table of routes of the service at `address`.
pub(super) fn demo_routes(address: SocketAddrV4) -> RouteTable {
    let route = RouteEntry {
        name: "placenames".into(),
        service: SERVICE.into(),
        address,
        path_prefix: "/".into(),
        methods: Vec::new(),
        priority: PriorityClass::Normal,
        timeout_ms: TIMEOUT_MS,
    };
    RouteTable {
        routes: vec![route],
    }
}

/// Returns the table of pools, with the second data centre in `state`.
pub(super) fn demo_pools(state: CentreState) -> PoolTable {
    let pool = PoolEntry {
        service: SERVICE.into(),
        servers: CENTRES
            .iter()
            .map(|name| format!("{name}-*").into())
            .collect(),
        slots: SLOTS,
        connections: CONNECTIONS,
        state: PoolState::Active,
    };
    let centres = CENTRES.iter().map(|name| CentreEntry {
        name: (*name).into(),
        state: match *name {
            OUT_CENTRE => state,
            _ => CentreState::In,
        },
    });
    PoolTable {
        pools: vec![pool],
        data_centres: centres.collect(),
    }
}
