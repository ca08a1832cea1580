//! Rules for the platform's configuration document: entries that never match, and limits that
//! contradict each other.

use carobdrum_core::Millis;
use carobdrum_platform::{
    ConfigDocument,
    ConfigField,
    ConfigFinding,
    DocumentRoute,
    DocumentService,
    EntryPlace, //
};
use compact_str::format_compact;

/// Weights are percentages.
const MAX_WEIGHT_SUM: u64 = 100;

/// A slower rate keeps a cold server without a request for more than a second at a time.
const MIN_COLD_RATE_PER_S: f64 = 1.0;

/// Returns all findings of a document, sorted by position.
pub(crate) fn judge_document(document: &ConfigDocument) -> Vec<ConfigFinding> {
    let mut findings = document.findings.clone();
    findings.extend(find_repeated_entries(document));
    if !document.is_partial {
        findings.extend(find_unknown_services(document));
        findings.extend(find_unnamed_services(document));
    }
    for route in &document.routes {
        findings.extend(check_weights(route));
        findings.extend(check_objective(route, document.idle_timeout));
    }
    findings.extend(document.services.iter().filter_map(check_cold_rate));
    findings.sort_by_key(|finding| finding.position);
    findings
}

/// Finds routes with the address of an earlier one, and names used twice.
fn find_repeated_entries(document: &ConfigDocument) -> Vec<ConfigFinding> {
    let routes = &document.routes;
    let services = &document.services;
    let mut findings = Vec::new();
    let mut add = |field, found, place: &EntryPlace, earlier: &EntryPlace| {
        let found = format_compact!("{found}, as in {}", earlier.path);
        let allowed = match field {
            ConfigField::Address => "an address used once",
            _ => "a name used once",
        };
        findings.push(place.finding(field, found, allowed));
    };
    for (later, first) in find_repeated(routes.iter().map(|route| route.route.address)) {
        let address = format_compact!("{}", routes[later].route.address);
        let (later, first) = (&routes[later].place, &routes[first].place);
        add(ConfigField::Address, address, later, first);
    }
    for (later, first) in find_repeated(routes.iter().map(|route| &route.name)) {
        if !routes[later].name.is_empty() {
            let name = format_compact!("`{}`", routes[later].name);
            let (later, first) = (&routes[later].place, &routes[first].place);
            add(ConfigField::Name, name, later, first);
        }
    }
    for (later, first) in find_repeated(services.iter().map(|service| &service.service.name)) {
        let name = format_compact!("`{}`", services[later].service.name);
        let (later, first) = (&services[later].place, &services[first].place);
        add(ConfigField::Name, name, later, first);
    }
    findings
}

/// Returns the index of each key that an earlier element has too, with that of the first element.
fn find_repeated<K: Ord>(keys: impl Iterator<Item = K>) -> Vec<(usize, usize)> {
    let mut sorted: Vec<(K, usize)> = keys.zip(0..).collect();
    sorted.sort();
    sorted
        .chunk_by(|(left, _), (right, _)| left == right)
        .flat_map(|group| group[1..].iter().map(|(_, later)| (*later, group[0].1)))
        .collect()
}

fn find_unknown_services(document: &ConfigDocument) -> Vec<ConfigFinding> {
    let mut known: Vec<&str> = document
        .services
        .iter()
        .map(|service| service.service.name.as_str())
        .collect();
    known.sort_unstable();
    let mut findings = Vec::new();
    for route in &document.routes {
        for share in &route.route.shares {
            if known.binary_search(&share.service.as_str()).is_err() {
                let found = format_compact!("the unknown service `{}`", share.service);
                let allowed = "a service of the document";
                findings.push(route.place.finding(ConfigField::Shares, found, allowed));
            }
        }
    }
    findings
}

fn find_unnamed_services(document: &ConfigDocument) -> Vec<ConfigFinding> {
    let shares = document.routes.iter().flat_map(|route| &route.route.shares);
    let mut named: Vec<&str> = shares.map(|share| share.service.as_str()).collect();
    named.sort_unstable();
    document
        .services
        .iter()
        .filter(|service| {
            let name = service.service.name.as_str();
            named.binary_search(&name).is_err()
        })
        .map(|service| {
            let found = format_compact!("`{}`, which no route names", service.service.name);
            let allowed = "a service that a route names";
            service.place.finding(ConfigField::Entry, found, allowed)
        })
        .collect()
}

/// Checks that a route's weights are percentages and that new flows may go to a service.
fn check_weights(route: &DocumentRoute) -> Option<ConfigFinding> {
    if route.route.shares.iter().all(|share| share.weight == 0) {
        let found = "no service with a weight above 0".into();
        let allowed = "at least one service with a weight above 0";
        return Some(route.place.finding(ConfigField::Shares, found, allowed));
    }
    let sum = route.split_weight;
    (sum > MAX_WEIGHT_SUM).then(|| {
        let found = format_compact!("weights that sum to {sum}");
        let allowed = format_compact!("weights that sum to at most {MAX_WEIGHT_SUM}");
        route.place.finding(ConfigField::Shares, found, allowed)
    })
}

/// Checks a route's objective against its timeout (0 means none) and the idle timeout of flows.
fn check_objective(route: &DocumentRoute, idle_timeout: Millis) -> Vec<ConfigFinding> {
    let objective = route.route.latency_objective;
    let timeout = route.timeout.filter(|timeout| timeout.0 > 0);
    let limits = [
        ("the route's timeout", timeout),
        ("the idle timeout of flows", Some(idle_timeout)),
    ];
    let mut findings = Vec::new();
    for (name, limit) in limits {
        if let Some(limit) = limit.filter(|limit| objective > *limit) {
            let found = format_compact!("{}", objective.0);
            let allowed = format_compact!("at most {}, {name}", limit.0);
            findings.push(route.place.finding(ConfigField::Objective, found, allowed));
        }
    }
    findings
}

fn check_cold_rate(service: &DocumentService) -> Option<ConfigFinding> {
    let rate = service.service.cold_rate?;
    (rate < MIN_COLD_RATE_PER_S).then(|| {
        let found = format_compact!("{rate}");
        let allowed = "0 for no limit, or at least 1";
        service.place.finding(ConfigField::ColdRate, found, allowed)
    })
}
