//! Parsing of the tables as operators write them.

use compact_str::CompactString;
use serde::de::DeserializeOwned;

use super::{
    check_pool_table,
    check_route_table,
    check_tables,
    pool_table::POOLS_SCHEMA,
    route_table::ROUTES_SCHEMA,
    PoolTable,
    RouteTable,
    TableFault, //
};
use crate::{
    FieldSchema,
    FileFault,
    ParsedFile, //
};

/// Maximum length of the text of one table, in bytes.
///
/// The store accepts values up to 1 MB. Even the shortest possible row takes less than three times
/// its length in a stored version, so two tables of this length stay below that limit.
pub const MAX_TABLE_BYTES: usize = 160 * 1024;

/// Faults in the texts of both tables.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextFaults {
    /// Faults in routes.toml.
    pub routes: Vec<FileFault>,
    /// Faults in pools.toml.
    pub pools: Vec<FileFault>,
}

/// Parses both tables and checks them alone and against each other.
///
/// If one of them can't be parsed, the other one is checked alone.
///
/// # Errors
///
/// Returns all faults of both texts.
pub fn read_tables(routes: &[u8], pools: &[u8]) -> Result<(RouteTable, PoolTable), TextFaults> {
    let (mut routes_file, routes) = read_table::<RouteTable>(routes, ROUTES_SCHEMA);
    let (mut pools_file, pools) = read_table::<PoolTable>(pools, POOLS_SCHEMA);
    let found = match (&routes, &pools) {
        (Some(routes), Some(pools)) => check_tables(routes, pools),
        (Some(routes), None) => check_route_table(routes),
        (None, Some(pools)) => check_pool_table(pools),
        (None, None) => Vec::new(),
    };
    let (of_routes, of_pools): (Vec<_>, Vec<_>) = found.into_iter().partition(is_route_fault);
    add_route_faults(&mut routes_file, routes.as_ref(), of_routes);
    add_pool_faults(&mut pools_file, pools.as_ref(), of_pools);
    let faults = TextFaults {
        routes: routes_file.into_faults(),
        pools: pools_file.into_faults(),
    };
    match (routes, pools) {
        (Some(routes), Some(pools)) if faults == TextFaults::default() => Ok((routes, pools)),
        _ => Err(faults),
    }
}

/// Parses the table of routes and checks it alone.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn read_routes(text: &[u8]) -> Result<RouteTable, Vec<FileFault>> {
    let (mut file, table) = read_table::<RouteTable>(text, ROUTES_SCHEMA);
    let found = table.as_ref().map(check_route_table).unwrap_or_default();
    add_route_faults(&mut file, table.as_ref(), found);
    file.finish(table)
}

/// Parses the table of pools and checks it alone.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn read_pools(text: &[u8]) -> Result<PoolTable, Vec<FileFault>> {
    let (mut file, table) = read_table::<PoolTable>(text, POOLS_SCHEMA);
    let found = table.as_ref().map(check_pool_table).unwrap_or_default();
    add_pool_faults(&mut file, table.as_ref(), found);
    file.finish(table)
}

fn read_table<T: DeserializeOwned>(
    text: &[u8],
    schema: &'static [FieldSchema],
) -> (ParsedFile, Option<T>) {
    let mut file = ParsedFile::read(text, MAX_TABLE_BYTES, schema);
    let table = file.value();
    (file, table)
}

fn is_route_fault(fault: &TableFault) -> bool {
    fault.field.starts_with("route")
}

/// Adds the faults of a check, and a fault if the file has no routes: a file that was truncated
/// or emptied by mistake must not remove every service.
fn add_route_faults(file: &mut ParsedFile, table: Option<&RouteTable>, found: Vec<TableFault>) {
    file.add_faults(found);
    if table.is_some_and(|table| table.routes.is_empty()) {
        file.add("route", none_found(), "at least one `[[route]]`");
    }
}

fn add_pool_faults(file: &mut ParsedFile, table: Option<&PoolTable>, found: Vec<TableFault>) {
    file.add_faults(found);
    if table.is_some_and(|table| table.pools.is_empty()) {
        file.add("pool", none_found(), "at least one `[[pool]]`");
    }
}

fn none_found() -> CompactString {
    CompactString::const_new("none")
}
