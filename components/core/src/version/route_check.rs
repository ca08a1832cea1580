//! Checks of the table of routes.

use compact_str::{
    format_compact,
    ToCompactString, //
};

use super::{
    fault_list::FaultList,
    RouteEntry,
    RouteTable, //
};

/// Shortest timeout of a route.
pub(super) const MIN_TIMEOUT_MS: u32 = 10;

/// Longest timeout of a route: one day.
pub(super) const MAX_TIMEOUT_MS: u32 = 86_400_000;

/// Longest path prefix, in bytes.
const MAX_PREFIX_LEN: usize = 1_000;

/// Longest request method, in bytes; the longest registered one has 17.
const MAX_METHOD_LEN: usize = 32;

/// Checks the table of routes without the table of pools.
pub(super) fn check_routes(table: &RouteTable, faults: &mut FaultList) {
    for (index, route) in table.routes.iter().enumerate() {
        check_fields(index, route, faults);
        for earlier in &table.routes[..index] {
            check_pair(index, earlier, route, faults);
        }
        if faults.is_full() {
            return;
        }
    }
}

fn check_fields(index: usize, route: &RouteEntry, faults: &mut FaultList) {
    let field_path = |field: &str| format_compact!("route[{index}].{field}");
    faults.check_name(field_path("name"), &route.name);
    faults.check_name(field_path("service"), &route.service);
    if !is_prefix(&route.path_prefix) {
        faults.push(
            field_path("path_prefix"),
            format_compact!("`{}`", route.path_prefix),
            "a path of 1 to 1000 visible ASCII characters that starts with `/`, without `?` or `#`",
        );
    }
    let ip = route.address.ip();
    let is_host = !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast();
    if route.address.port() == 0 || !is_host {
        faults.push(
            field_path("address"),
            route.address.to_compact_string(),
            "an IPv4 address of a host and a port other than 0",
        );
    }
    faults.check_range(
        field_path("timeout_ms"),
        route.timeout_ms,
        MIN_TIMEOUT_MS..=MAX_TIMEOUT_MS,
        "10 to 86400000 milliseconds",
    );
    for method in &route.methods {
        if !is_method(method) {
            faults.push(
                field_path("methods"),
                format_compact!("`{method}`"),
                "request methods of 1 to 32 capital letters",
            );
        }
    }
}

fn is_prefix(prefix: &str) -> bool {
    prefix.starts_with('/')
        && prefix.len() <= MAX_PREFIX_LEN
        && prefix
            .bytes()
            .all(|byte| byte.is_ascii_graphic() && byte != b'?' && byte != b'#')
}

fn is_method(method: &str) -> bool {
    (1..=MAX_METHOD_LEN).contains(&method.len())
        && method.bytes().all(|byte| byte.is_ascii_uppercase())
}

/// Compares a route with an earlier one: names, addresses, and whether both match the same
/// requests.
fn check_pair(index: usize, earlier: &RouteEntry, route: &RouteEntry, faults: &mut FaultList) {
    let field_path = |field: &str| format_compact!("route[{index}].{field}");
    if earlier.name == route.name {
        let found = format_compact!("`{}` twice", route.name);
        faults.push(field_path("name"), found, "a name used once");
    }
    let shares_address = earlier.address == route.address;
    if shares_address && earlier.service != route.service {
        let found = format_compact!(
            "`{}` at {}, which belongs to `{}`",
            route.service,
            route.address,
            earlier.service
        );
        faults.push(field_path("service"), found, "one service at one address");
    }
    let shares_match = earlier.service == route.service
        && earlier.path_prefix == route.path_prefix
        && methods_overlap(earlier, route);
    if shares_match && shares_address {
        let found = format_compact!("the same match as route `{}`", earlier.name);
        let allowed = "one route for a path prefix and method";
        faults.push(field_path("path_prefix"), found, allowed);
    }
    // Agents match requests by service, so the address can't distinguish two such routes.
    let differs = earlier.priority != route.priority || earlier.timeout_ms != route.timeout_ms;
    if shares_match && !shares_address && differs {
        let found = format_compact!("other limits than route `{}`", earlier.name);
        let allowed = "one priority and timeout for the same match at all addresses of a service";
        faults.push(field_path("path_prefix"), found, allowed);
    }
}

/// Returns whether both routes match a method with equal precedence. A route for all methods
/// overlaps only with another such route, because routes that name the method have precedence.
fn methods_overlap(left: &RouteEntry, right: &RouteEntry) -> bool {
    if left.methods.is_empty() || right.methods.is_empty() {
        return left.methods.is_empty() && right.methods.is_empty();
    }
    left.methods.iter().any(|name| right.methods.contains(name))
}
