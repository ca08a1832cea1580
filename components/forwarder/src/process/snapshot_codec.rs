//! Conversion between the configuration and its snapshot.

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::{
        FlowRoute,
        ServiceRules,
        ServiceShare,
        SiteRules, //
    },
};
use carobdrum_wire::{
    flow_datagram::{
        address_number,
        number_address, //
    },
    snapshot::{
        AgentEntry,
        RouteEntry,
        ServiceEntry,
        ShareEntry,
        SiteSnapshot, //
    },
};
use compact_str::CompactString;

/// Writes what a process knows.
pub(crate) fn write_snapshot(rules: &SiteRules, agents: &[AgentRecord]) -> SiteSnapshot {
    SiteSnapshot {
        version: rules.version,
        revision: rules.revision,
        idle_ms: rules.idle_time.0,
        routes: rules.routes().iter().map(write_route).collect(),
        services: rules.services().iter().map(write_service).collect(),
        closed_centres: rules
            .closed_centres()
            .iter()
            .map(ToString::to_string)
            .collect(),
        agents: agents.iter().map(write_agent).collect(),
    }
}

/// Reads the configuration that a process sent.
pub(crate) fn read_rules(snapshot: &SiteSnapshot) -> SiteRules {
    let routes = snapshot.routes.iter().map(read_route);
    let services = snapshot.services.iter().map(read_service);
    let idle_time = Millis(snapshot.idle_ms);
    let mut rules = SiteRules::new(snapshot.version, idle_time, routes, services);
    rules.revision = snapshot.revision;
    rules.close_centres(snapshot.closed_centres.iter().map(CompactString::from));
    rules
}

/// Reads the agents that a process sent.
pub(crate) fn read_agents(snapshot: &SiteSnapshot) -> Vec<AgentRecord> {
    let agents = snapshot.agents.iter().map(|entry| AgentRecord {
        address: number_address(entry.address),
        centre: entry.centre.as_str().into(),
        service: entry.service.as_str().into(),
    });
    agents.collect()
}

fn write_route(route: &FlowRoute) -> RouteEntry {
    let shares = route.shares.iter().map(|share| ShareEntry {
        service: share.service.to_string(),
        weight: share.weight,
    });
    RouteEntry {
        address: address_number(route.address),
        priority: u32::from(route.priority),
        objective_ms: route.objective.0,
        shares: shares.collect(),
    }
}

fn read_route(entry: &RouteEntry) -> FlowRoute {
    let shares = entry.shares.iter().map(|share| ServiceShare {
        service: share.service.as_str().into(),
        weight: share.weight,
    });
    FlowRoute {
        address: number_address(entry.address),
        shares: shares.collect(),
        priority: u8::try_from(entry.priority).unwrap_or(u8::MAX),
        objective: Millis(entry.objective_ms),
    }
}

fn write_service(rules: &ServiceRules) -> ServiceEntry {
    ServiceEntry {
        name: rules.name.to_string(),
        cold_ms: rules.cold_time.0,
        cold_rate: rules.cold_rate,
    }
}

fn read_service(entry: &ServiceEntry) -> ServiceRules {
    ServiceRules {
        name: entry.name.as_str().into(),
        cold_time: Millis(entry.cold_ms),
        cold_rate: entry.cold_rate,
    }
}

fn write_agent(record: &AgentRecord) -> AgentEntry {
    AgentEntry {
        address: address_number(record.address),
        centre: record.centre.to_string(),
        service: record.service.to_string(),
    }
}
