//! Checks of the table of pools.

use compact_str::{
    format_compact,
    CompactString, //
};

use super::{
    fault_list::FaultList,
    name_pattern::{
        is_pattern,
        patterns_intersect, //
    },
    PoolEntry,
    PoolTable, //
};

/// Largest number of slots of one server.
pub(super) const MAX_SLOTS: u32 = 10_000;

/// Largest number of connections of one server's agent.
pub(super) const MAX_CONNECTIONS: u32 = 100_000;

/// Largest number of data centres: a connection ID has one byte for it, and numbers start at 1.
const MAX_CENTRES: usize = 255;

/// Checks the table of pools without the table of routes.
pub(super) fn check_pools(table: &PoolTable, faults: &mut FaultList) {
    for (index, pool) in table.pools.iter().enumerate() {
        check_fields(index, pool, faults);
        for earlier in &table.pools[..index] {
            check_pair(index, earlier, pool, faults);
        }
        if faults.is_full() {
            return;
        }
    }
    check_centres(table, faults);
}

fn check_fields(index: usize, pool: &PoolEntry, faults: &mut FaultList) {
    let field_path = |field: &str| format_compact!("pool[{index}].{field}");
    faults.check_name(field_path("service"), &pool.service);
    if pool.servers.is_empty() {
        let allowed = "at least one name or pattern";
        faults.push(field_path("servers"), "no names".into(), allowed);
    }
    for (number, pattern) in pool.servers.iter().enumerate() {
        if !is_pattern(pattern) {
            faults.push(
                field_path(&format_compact!("servers[{number}]")),
                format_compact!("`{pattern}`"),
                "1 to 100 letters, digits, `-`, `_`, `.` or `*`",
            );
        }
    }
    let slots = 1..=MAX_SLOTS;
    faults.check_range(field_path("slots"), pool.slots, slots, "1 to 10000");
    let connections = 1..=MAX_CONNECTIONS;
    let field_path = field_path("connections");
    faults.check_range(field_path, pool.connections, connections, "1 to 100000");
}

/// Compares a pool with an earlier one: their services must differ, and no server name may match
/// patterns of both.
fn check_pair(index: usize, earlier: &PoolEntry, pool: &PoolEntry, faults: &mut FaultList) {
    if earlier.service == pool.service {
        let field = format_compact!("pool[{index}].service");
        let found = format_compact!("`{}` twice", pool.service);
        faults.push(field, found, "one pool for a service");
    }
    for (number, pattern) in pool.servers.iter().enumerate() {
        let overlapped: Option<&CompactString> = earlier
            .servers
            .iter()
            .find(|other| patterns_intersect(other, pattern));
        if let Some(other) = overlapped {
            let field = format_compact!("pool[{index}].servers[{number}]");
            let found = format_compact!(
                "`{pattern}`, which overlaps `{other}` of pool `{}`",
                earlier.service
            );
            faults.push(field, found, "each server in one pool");
        }
    }
}

fn check_centres(table: &PoolTable, faults: &mut FaultList) {
    let count = table.data_centres.len();
    if count > MAX_CENTRES {
        let found = format_compact!("{count} data centres");
        faults.push("data_centre".into(), found, "at most 255 data centres");
    }
    for (index, centre) in table.data_centres.iter().enumerate() {
        let field = format_compact!("data_centre[{index}].name");
        faults.check_name(field.clone(), &centre.name);
        let earlier = &table.data_centres[..index];
        if earlier.iter().any(|other| other.name == centre.name) {
            let found = format_compact!("`{}` twice", centre.name);
            faults.push(field, found, "a name used once");
        }
    }
}
