//! Checks of the tables, alone and against each other.

use compact_str::format_compact;

use super::{
    fault_list::FaultList,
    pool_check::check_pools,
    route_check::check_routes,
    PoolTable,
    RouteTable,
    TableFault, //
};

/// Checks each table and the references between them, and returns all faults.
pub fn check_tables(routes: &RouteTable, pools: &PoolTable) -> Vec<TableFault> {
    let mut faults = FaultList::default();
    check_routes(routes, &mut faults);
    check_pools(pools, &mut faults);
    check_references(routes, pools, &mut faults);
    faults.into_faults()
}

/// Checks the table of routes alone, and returns all faults.
pub fn check_route_table(routes: &RouteTable) -> Vec<TableFault> {
    let mut faults = FaultList::default();
    check_routes(routes, &mut faults);
    faults.into_faults()
}

/// Checks the table of pools alone, and returns all faults.
pub fn check_pool_table(pools: &PoolTable) -> Vec<TableFault> {
    let mut faults = FaultList::default();
    check_pools(pools, &mut faults);
    faults.into_faults()
}

fn check_references(routes: &RouteTable, pools: &PoolTable, faults: &mut FaultList) {
    for (index, route) in routes.routes.iter().enumerate() {
        if pools.pool_of(&route.service).is_none() {
            let field = format_compact!("route[{index}].service");
            let found = format_compact!("`{}`, which has no pool", route.service);
            faults.push(field, found, "a service of the table of pools");
        }
    }
    for (index, pool) in pools.pools.iter().enumerate() {
        let mut services = routes.routes.iter().map(|route| &route.service);
        if !services.any(|service| *service == pool.service) {
            let field = format_compact!("pool[{index}].service");
            let found = format_compact!("`{}`, which has no route", pool.service);
            faults.push(field, found, "a service of the table of routes");
        }
    }
}
