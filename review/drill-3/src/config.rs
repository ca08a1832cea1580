//! Configurations that the operator writes.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const LOOKUP: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
pub const SHEETS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443);
/// Seconds for which a target is cold after its start.
pub const COLD_START_S: f64 = 2.0;

/// A route to `lookup` beside the others, which sees only test flows.
pub const THIRD: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 443);

/// Returns a version of the configuration, with or without the third route; cold targets aren't limited.
pub fn config(version: u64, has_third: bool) -> String {
    limited_config(version, has_third, 0.0)
}

/// Returns a version of the configuration whose cold targets bear `cold_per_s` requests a second.
pub fn limited_config(version: u64, has_third: bool, cold_per_s: f64) -> String {
    let route = |name: &str, address: SocketAddrV4, service: &str, kind: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\"RouteKind\":\"{kind}\",\"TimeoutMs\":3000,\
             \"LatencyObjectiveMs\":300,\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}",
            address.ip(),
            address.port()
        )
    };
    let mut routes = vec![
        route("r-1", LOOKUP, "lookup", "idempotent"),
        route("r-2", SHEETS, "sheets", "download"),
    ];
    if has_third {
        routes.push(route("r-3", THIRD, "lookup", "non_idempotent"));
    }
    let service = |name: &str| {
        format!(
            "{{\"Name\":\"{name}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,\"Protocol\":\"h1\",\
             \"Tls\":false,\"ColdStartS\":{COLD_START_S:.1},\"ColdPerS\":{cold_per_s:.1}}}"
        )
    };
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{},{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":262144,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        service("lookup"),
        service("sheets")
    )
}
