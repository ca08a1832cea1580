//! The cases.

pub mod all_killed;
pub mod early_restart;
pub mod late_heartbeat;
pub mod odd_heartbeat;
pub mod silent_watch;

use std::net::SocketAddrV4;

/// Address of the route of the cases.
pub const ROUTE: SocketAddrV4 = SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 1), 8443);

/// Address of a second route.
pub const OTHER_ROUTE: SocketAddrV4 =
    SocketAddrV4::new(std::net::Ipv4Addr::new(198, 18, 0, 2), 8443);

/// Returns a configuration with one route to one service.
pub fn config(version: u32, service: &str) -> String {
    config_with(version, service, 1_500)
}

/// Returns the same with this timeout of the route.
pub fn config_with(version: u32, service: &str, timeout_ms: u32) -> String {
    config_of(version, &[(ROUTE, service)], timeout_ms)
}

/// Returns a configuration with these routes and their services.
pub fn config_of(version: u32, routes: &[(SocketAddrV4, &str)], timeout_ms: u32) -> String {
    let services = routes.iter().map(|(_, service)| {
        serde_json::json!({
            "Name": service, "HealthCheckPath": "/health", "MaxConnections": 2000, "Protocol": "h1",
            "Tls": false, "ColdStartS": 2.0, "ColdPerS": 0.0,
        })
    });
    let services: Vec<serde_json::Value> = services.collect();
    let routes = routes.iter().map(|(address, service)| {
        serde_json::json!({
            "Name": format!("r-{service}"), "Host": address.ip().to_string(),
            "Prefix": format!("/{}/", address.port()), "RouteKind": "non_idempotent",
            "TimeoutMs": timeout_ms, "LatencyObjectiveMs": 300, "Priority": 1, "Service": service,
            "MaxAttempts": 2,
        })
    });
    let routes: Vec<serde_json::Value> = routes.collect();
    serde_json::json!({
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"IdleTimeoutMs": 15000},
    })
    .to_string()
}
