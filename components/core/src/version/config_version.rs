//! One version of the configuration: both tables and the numbers of their names.

use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::ensure;

use super::{
    pool_table::glob_matches,
    table_fault::{
        FaultySnafu,
        NumbersExhaustedSnafu, //
    },
    CentreId,
    PoolTable,
    RouteTable,
    ServiceId,
    TableError,
    TableFault, //
};

const MAX_SLOTS: u32 = 10_000;
const MAX_CONNECTIONS: u32 = 100_000;
const MIN_TIMEOUT_MS: u32 = 10;
const MAX_TIMEOUT_MS: u32 = 86_400_000;
const MAX_NAME_LEN: usize = 100;

/// A name and the number that stands for it in packets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedId<I> {
    /// The name.
    pub name: CompactString,
    /// Its number.
    pub id: I,
}

/// One accepted edit of the tables.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Number of the version; grows by one with each edit.
    pub number: u32,
    /// Random identity of the edit, by which its author recognises it after a lost answer.
    pub edit_id: CompactString,
    /// Who made the edit.
    pub author: CompactString,
    /// Why the edit was made.
    pub comment: CompactString,
    /// Time of the edit, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// The table of routes.
    pub routes: RouteTable,
    /// The table of pools.
    pub pools: PoolTable,
    /// Numbers of services, also of those that no table names any more.
    pub services: Vec<NamedId<ServiceId>>,
    /// Numbers of data centres, also of those that no table names any more.
    pub centres: Vec<NamedId<CentreId>>,
}

impl ConfigVersion {
    /// Builds the successor of `self` from edited tables, keeping all numbers given so far.
    ///
    /// # Errors
    ///
    /// Returns [`TableError::Faulty`] if the tables are wrong, and
    /// [`TableError::NumbersExhausted`] if a new name gets no number.
    pub fn successor(
        &self,
        routes: RouteTable,
        pools: PoolTable,
    ) -> Result<ConfigVersion, TableError> {
        let faults = check_tables(&routes, &pools);
        ensure!(faults.is_empty(), FaultySnafu { faults });
        let mut services = self.services.clone();
        for pool in &pools.pools {
            let limit = u32::from(u16::MAX);
            assign(&mut services, &pool.service, limit, |id| {
                ServiceId(id as u16)
            })?;
        }
        let mut centres = self.centres.clone();
        for centre in &pools.data_centres {
            let limit = u32::from(u8::MAX);
            assign(&mut centres, &centre.name, limit, |id| CentreId(id as u8))?;
        }
        Ok(ConfigVersion {
            number: self.number + 1,
            routes,
            pools,
            services,
            centres,
            ..ConfigVersion::default()
        })
    }

    /// Returns the number of the service `name`.
    pub fn service_id(&self, name: &str) -> Option<ServiceId> {
        find_id(&self.services, name)
    }

    /// Returns the name of a service.
    pub fn service_name(&self, id: ServiceId) -> Option<&CompactString> {
        let found = self.services.iter().find(|named| named.id == id);
        found.map(|named| &named.name)
    }

    /// Returns the number of the data centre `name`.
    pub fn centre_id(&self, name: &str) -> Option<CentreId> {
        find_id(&self.centres, name)
    }

    /// Returns whether operators have taken the data centre out.
    pub fn is_out(&self, id: CentreId) -> bool {
        let found = self.centres.iter().find(|named| named.id == id);
        found.is_some_and(|named| self.pools.is_out(&named.name))
    }
}

fn find_id<I: Copy>(names: &[NamedId<I>], name: &str) -> Option<I> {
    names
        .iter()
        .find(|named| named.name == name)
        .map(|named| named.id)
}

/// Gives `name` the next number, unless it has one; numbers start at 1.
fn assign<I>(
    names: &mut Vec<NamedId<I>>,
    name: &CompactString,
    limit: u32,
    id_of: impl Fn(u32) -> I,
) -> Result<(), TableError> {
    if names.iter().any(|named| named.name == *name) {
        return Ok(());
    }
    let next = names.len() as u32 + 1;
    ensure!(
        next <= limit,
        NumbersExhaustedSnafu {
            name: name.clone(),
            limit
        }
    );
    names.push(NamedId {
        name: name.clone(),
        id: id_of(next),
    });
    Ok(())
}

/// Checks both tables alone and against each other, and returns all faults.
pub fn check_tables(routes: &RouteTable, pools: &PoolTable) -> Vec<TableFault> {
    let mut faults = Vec::new();
    check_routes(routes, &mut faults);
    check_pools(pools, &mut faults);
    check_centres(pools, &mut faults);
    check_join(routes, pools, &mut faults);
    faults
}

fn check_routes(table: &RouteTable, faults: &mut Vec<TableFault>) {
    for (index, route) in table.routes.iter().enumerate() {
        let place = |field: &str| format_compact!("route[{index}].{field}");
        check_name(place("name"), &route.name, faults);
        check_name(place("service"), &route.service, faults);
        if !route.path_prefix.starts_with('/') {
            let found = format_compact!("`{}`", route.path_prefix);
            push(
                faults,
                place("path_prefix"),
                found,
                "a path that starts with `/`",
            );
        }
        if route.address.port() == 0 || route.address.ip().is_unspecified() {
            let found = route.address.to_compact_string();
            push(
                faults,
                place("address"),
                found,
                "an IPv4 address and a port other than 0",
            );
        }
        check_range(
            place("timeout_ms"),
            route.timeout_ms,
            MIN_TIMEOUT_MS..=MAX_TIMEOUT_MS,
            "10 to 86400000 milliseconds",
            faults,
        );
        for method in &route.methods {
            if method.is_empty() || !method.bytes().all(|byte| byte.is_ascii_uppercase()) {
                let found = format_compact!("`{method}`");
                push(
                    faults,
                    place("methods"),
                    found,
                    "request methods in capital letters",
                );
            }
        }
        check_earlier_routes(index, table, faults);
    }
}

/// Compares a route with those before it: names, addresses and equal matches.
fn check_earlier_routes(index: usize, table: &RouteTable, faults: &mut Vec<TableFault>) {
    let route = &table.routes[index];
    for earlier in &table.routes[..index] {
        if earlier.name == route.name {
            let field = format_compact!("route[{index}].name");
            push(
                faults,
                field,
                format_compact!("`{}` twice", route.name),
                "a name used once",
            );
        }
        if earlier.address != route.address {
            continue;
        }
        if earlier.service != route.service {
            let field = format_compact!("route[{index}].service");
            let found = format_compact!(
                "`{}` at {}, which belongs to `{}`",
                route.service,
                route.address,
                earlier.service
            );
            push(faults, field, found, "one service at one address");
        } else if earlier.path_prefix == route.path_prefix && methods_overlap(earlier, route) {
            let field = format_compact!("route[{index}].path_prefix");
            let found = format_compact!("the same match as route `{}`", earlier.name);
            push(
                faults,
                field,
                found,
                "one route for a path prefix and method",
            );
        }
    }
}

fn methods_overlap(left: &super::RouteEntry, right: &super::RouteEntry) -> bool {
    if left.methods.is_empty() || right.methods.is_empty() {
        return left.methods.is_empty() && right.methods.is_empty();
    }
    left.methods.iter().any(|name| right.methods.contains(name))
}

fn check_pools(table: &PoolTable, faults: &mut Vec<TableFault>) {
    for (index, pool) in table.pools.iter().enumerate() {
        let place = |field: &str| format_compact!("pool[{index}].{field}");
        check_name(place("service"), &pool.service, faults);
        if pool.servers.is_empty() {
            push(
                faults,
                place("servers"),
                "no names".into(),
                "at least one name or pattern",
            );
        }
        check_range(
            place("slots"),
            pool.slots,
            1..=MAX_SLOTS,
            "1 to 10000",
            faults,
        );
        check_range(
            place("connections"),
            pool.connections,
            1..=MAX_CONNECTIONS,
            "1 to 100000",
            faults,
        );
        for earlier in &table.pools[..index] {
            if earlier.service == pool.service {
                let found = format_compact!("`{}` twice", pool.service);
                push(faults, place("service"), found, "one pool for a service");
            }
            check_patterns(place("servers"), &earlier.servers, &pool.servers, faults);
        }
    }
}

/// Reports patterns of two pools that a same server name could match.
fn check_patterns(
    place: CompactString,
    earlier: &[CompactString],
    later: &[CompactString],
    faults: &mut Vec<TableFault>,
) {
    for left in earlier {
        for right in later {
            if glob_matches(left, right) || glob_matches(right, left) {
                let found = format_compact!("`{right}`, which overlaps `{left}` of another pool");
                push(faults, place.clone(), found, "each server in one pool");
            }
        }
    }
}

fn check_centres(table: &PoolTable, faults: &mut Vec<TableFault>) {
    for (index, centre) in table.data_centres.iter().enumerate() {
        let field = format_compact!("data_centre[{index}].name");
        check_name(field.clone(), &centre.name, faults);
        let repeated = table.data_centres[..index]
            .iter()
            .any(|other| other.name == centre.name);
        if repeated {
            push(
                faults,
                field,
                format_compact!("`{}` twice", centre.name),
                "a name used once",
            );
        }
    }
}

fn check_join(routes: &RouteTable, pools: &PoolTable, faults: &mut Vec<TableFault>) {
    for (index, route) in routes.routes.iter().enumerate() {
        if pools.pool_of(&route.service).is_none() {
            let field = format_compact!("route[{index}].service");
            let found = format_compact!("`{}`, which has no pool", route.service);
            push(faults, field, found, "a service of the table of pools");
        }
    }
    for (index, pool) in pools.pools.iter().enumerate() {
        if !routes
            .routes
            .iter()
            .any(|route| route.service == pool.service)
        {
            let field = format_compact!("pool[{index}].service");
            let found = format_compact!("`{}`, which has no route", pool.service);
            push(faults, field, found, "a service of the table of routes");
        }
    }
}

fn check_name(field: CompactString, name: &str, faults: &mut Vec<TableFault>) {
    let good = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if name.is_empty() || name.len() > MAX_NAME_LEN || !name.bytes().all(good) {
        let found = format_compact!("`{name}`");
        push(
            faults,
            field,
            found,
            "1 to 100 letters, digits, `-`, `_` or `.`",
        );
    }
}

fn check_range(
    field: CompactString,
    value: u32,
    range: std::ops::RangeInclusive<u32>,
    allowed: &'static str,
    faults: &mut Vec<TableFault>,
) {
    if !range.contains(&value) {
        push(faults, field, value.to_compact_string(), allowed);
    }
}

fn push(
    faults: &mut Vec<TableFault>,
    field: CompactString,
    found: CompactString,
    allowed: &'static str,
) {
    faults.push(TableFault {
        field,
        found,
        allowed,
    });
}
