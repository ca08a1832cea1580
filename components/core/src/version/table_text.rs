//! The text of the tables, as operators write it.

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

/// Longest text of one table, in bytes.
///
/// The store takes values up to 1 MB. A row as short as possible grows to less than three times
/// its length in a stored version, so two tables of this length stay below the limit.
pub const MAX_TABLE_BYTES: usize = 160 * 1024;

/// Faults of both tables, by file.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TextFaults {
    /// Faults in the table of routes.
    pub routes: Vec<FileFault>,
    /// Faults in the table of pools.
    pub pools: Vec<FileFault>,
}

/// Reads both tables and checks them alone and against each other.
///
/// If one of them can't be parsed, the other one is checked alone.
///
/// # Errors
///
/// Returns all faults of both texts.
pub fn read_tables(routes: &[u8], pools: &[u8]) -> Result<(RouteTable, PoolTable), TextFaults> {
    let (mut routes_text, routes) = read_table::<RouteTable>(routes, ROUTES_SCHEMA);
    let (mut pools_text, pools) = read_table::<PoolTable>(pools, POOLS_SCHEMA);
    let found = match (&routes, &pools) {
        (Some(routes), Some(pools)) => check_tables(routes, pools),
        (Some(routes), None) => check_route_table(routes),
        (None, Some(pools)) => check_pool_table(pools),
        (None, None) => Vec::new(),
    };
    let (of_routes, of_pools): (Vec<_>, Vec<_>) = found.into_iter().partition(is_of_routes);
    finish_routes(&mut routes_text, routes.as_ref(), of_routes);
    finish_pools(&mut pools_text, pools.as_ref(), of_pools);
    let faults = TextFaults {
        routes: routes_text.into_faults(),
        pools: pools_text.into_faults(),
    };
    match (routes, pools) {
        (Some(routes), Some(pools)) if faults == TextFaults::default() => Ok((routes, pools)),
        _ => Err(faults),
    }
}

/// Reads the table of routes and checks it alone.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn read_routes(text: &[u8]) -> Result<RouteTable, Vec<FileFault>> {
    let (mut text, table) = read_table::<RouteTable>(text, ROUTES_SCHEMA);
    let found = table.as_ref().map(check_route_table).unwrap_or_default();
    finish_routes(&mut text, table.as_ref(), found);
    text.finish(table)
}

/// Reads the table of pools and checks it alone.
///
/// # Errors
///
/// Returns all faults of the text.
pub fn read_pools(text: &[u8]) -> Result<PoolTable, Vec<FileFault>> {
    let (mut text, table) = read_table::<PoolTable>(text, POOLS_SCHEMA);
    let found = table.as_ref().map(check_pool_table).unwrap_or_default();
    finish_pools(&mut text, table.as_ref(), found);
    text.finish(table)
}

fn read_table<T: DeserializeOwned>(
    text: &[u8],
    schema: &'static [FieldSchema],
) -> (ParsedFile, Option<T>) {
    let mut text = ParsedFile::read(text, MAX_TABLE_BYTES, schema);
    let table = text.value();
    (text, table)
}

fn is_of_routes(fault: &TableFault) -> bool {
    fault.field.starts_with("route")
}

/// Adds the faults of a check, and a fault if the file has no rows: a file that was cut off or
/// emptied by mistake must not take every service away.
fn finish_routes(text: &mut ParsedFile, table: Option<&RouteTable>, found: Vec<TableFault>) {
    text.add_faults(found);
    if table.is_some_and(|table| table.routes.is_empty()) {
        text.add("route", no_rows(), "at least one `[[route]]`");
    }
}

fn finish_pools(text: &mut ParsedFile, table: Option<&PoolTable>, found: Vec<TableFault>) {
    text.add_faults(found);
    if table.is_some_and(|table| table.pools.is_empty()) {
        text.add("pool", no_rows(), "at least one `[[pool]]`");
    }
}

fn no_rows() -> CompactString {
    CompactString::const_new("none")
}
