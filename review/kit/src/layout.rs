//! The deployment of the site vdw-balans: four balancers and ten agents in three zones.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    time::Duration,
};

use crate::{
    callers::{Callers, Load},
    server::Server,
    site::{CaseError, Site},
};

pub const WORKSHOP: &str = "werkplaats";
pub const ARCHIVE: &str = "archief";

pub const STATUS_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_443);
pub const RECORD_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8_080);
pub const REPORT_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 8_443);
pub const ADDED_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 8_443);

const BALANCER_ZONES: [&str; 4] = ["nlm-a", "nlm-a", "nlm-b", "nlm-c"];

/// Zone and service of each agent.
pub const AGENTS: [(&str, &str); 10] = [
    ("nlm-a", WORKSHOP),
    ("nlm-a", WORKSHOP),
    ("nlm-a", WORKSHOP),
    ("nlm-b", WORKSHOP),
    ("nlm-b", WORKSHOP),
    ("nlm-c", WORKSHOP),
    ("nlm-c", WORKSHOP),
    ("nlm-a", ARCHIVE),
    ("nlm-b", ARCHIVE),
    ("nlm-c", ARCHIVE),
];

/// A zone and the requests per second of its callers to the workshop and to the archive.
const ZONE_RATES: [(&str, f64, f64); 3] = [
    ("nlm-a", 108.0, 7.0),
    ("nlm-b", 152.0, 10.0),
    ("nlm-c", 115.0, 8.0),
];

const STATUS_DEADLINE: Duration = Duration::from_millis(1_200);

/// A configuration as the operator writes it.
#[derive(Clone, Debug)]
pub struct Config {
    pub version: u64,
    pub timeout_ms: u64,
    pub routes: Vec<(SocketAddrV4, &'static str)>,
    pub cold_per_s: f64,
}

impl Config {
    /// Returns the first configuration.
    pub fn first() -> Config {
        let routes = vec![
            (STATUS_ROUTE, WORKSHOP),
            (RECORD_ROUTE, WORKSHOP),
            (REPORT_ROUTE, ARCHIVE),
        ];
        Config {
            version: 7,
            timeout_ms: 1_200,
            routes,
            cold_per_s: 0.0,
        }
    }

    pub fn text(&self) -> String {
        let routes = self.routes.iter().map(|(address, service)| {
            format!(
                "{{\"Name\":\"r-{}-{}\",\"Host\":\"{}\",\"Prefix\":\"/{}/\",\
                 \"RouteKind\":\"idempotent\",\"TimeoutMs\":{},\"LatencyObjectiveMs\":250,\
                 \"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":2}}",
                address.ip().octets()[3],
                address.port(),
                address.ip(),
                address.port(),
                self.timeout_ms,
            )
        });
        let services = [WORKSHOP, ARCHIVE].iter().map(|service| {
            format!(
                "{{\"Name\":\"{service}\",\"HealthCheckPath\":\"/health\",\"MaxConnections\":2000,\
                 \"Protocol\":\"h1\",\"Tls\":false,\"ColdStartS\":2.0,\"ColdPerS\":{:.1}}}",
                self.cold_per_s
            )
        });
        format!(
            "{{\"Version\":{},\"Routes\":[{}],\"Services\":[{}],\
             \"Limits\":{{\"IdleTimeoutMs\":15000}}}}",
            self.version,
            routes.collect::<Vec<_>>().join(","),
            services.collect::<Vec<_>>().join(","),
        )
    }
}

/// Starts the deployment without targets.
pub fn start_site(root: &Path, config: &Config) -> Result<Site, CaseError> {
    let mut site = Site::start(root, &config.text())?;
    for zone in BALANCER_ZONES {
        site.add_balancer(zone)?;
    }
    for (zone, service) in AGENTS {
        site.add_agent(zone, service)?;
    }
    site.router.start();
    Ok(site)
}

/// Starts a warm target beside each agent but `left_out`.
pub fn start_servers(
    site: &Site,
    left_out: Option<usize>,
) -> Result<Vec<Option<Server>>, CaseError> {
    let start = |index: usize| {
        if left_out == Some(index) {
            return Ok(None);
        }
        let settings = site.server_settings(index, "1");
        site.start_server(settings, Duration::ZERO).map(Some)
    };
    (0..AGENTS.len()).map(start).collect()
}

/// Starts the callers of all zones, at a share of the site's rates.
pub fn start_callers(site: &Site, share: f64, further: &[Load]) -> Result<Vec<Callers>, CaseError> {
    let zones = ZONE_RATES.iter().zip(1..);
    let callers = zones.map(|((zone, workshop_rate, archive_rate), number)| {
        let load = |name, route, per_s, is_idempotent| Load {
            name,
            route,
            per_s,
            deadline: STATUS_DEADLINE,
            is_idempotent,
        };
        let mut loads = vec![
            load("status", STATUS_ROUTE, share * workshop_rate, true),
            load("rapport", REPORT_ROUTE, share * archive_rate, true),
        ];
        loads.extend_from_slice(further);
        site.start_callers(zone, number, loads)
    });
    callers.collect()
}
