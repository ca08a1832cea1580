//! Routes and pools of the demo.

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

/// Name of the service.
pub(super) const SERVICE: &str = "placename-api";
/// Names of the data centres.
pub(super) const CENTRES: [&str; 2] = ["galway-a", "ennis-a"];
/// Data centre that the script evacuates.
pub(super) const EVACUATED_CENTRE: &str = CENTRES[1];
/// Concurrent requests that a server may run.
pub(super) const SLOTS: u32 = 8;

/// Timeout of a request, in milliseconds.
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

/// Returns the table of pools, with [`EVACUATED_CENTRE`] in `state`.
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
            EVACUATED_CENTRE => state,
            _ => CentreState::In,
        },
    });
    PoolTable {
        pools: vec![pool],
        data_centres: centres.collect(),
    }
}
