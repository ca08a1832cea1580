//! Conversion between the configuration and its snapshot.

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
};
use carobdrum_wire::{
    flow_datagram::{
        address_from_number, //
        address_to_number,
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
pub(crate) fn write_snapshot(rules: &SiteConfig, agents: &[AgentRecord]) -> SiteSnapshot {
    SiteSnapshot {
        version: rules.version,
        revision: rules.revision,
        idle_ms: rules.idle_time.0,
        routes: rules.routes().iter().map(write_route).collect(),
        services: rules.services().iter().map(write_service).collect(),
        evacuated_centres: rules
            .evacuated_centres()
            .iter()
            .map(ToString::to_string)
            .collect(),
        agents: agents.iter().map(write_agent).collect(),
    }
}

/// Reads the configuration that a process sent.
pub(crate) fn read_rules(snapshot: &SiteSnapshot) -> SiteConfig {
    let routes = snapshot.routes.iter().map(read_route);
    let services = snapshot.services.iter().map(read_service);
    let idle_time = Millis(snapshot.idle_ms);
    let mut rules = SiteConfig::new(snapshot.version, idle_time, routes, services);
    rules.revision = snapshot.revision;
    rules.close_centres(snapshot.evacuated_centres.iter().map(CompactString::from));
    rules
}

/// Reads the agents that a process sent.
pub(crate) fn read_agents(snapshot: &SiteSnapshot) -> Vec<AgentRecord> {
    let agents = snapshot.agents.iter().map(|entry| AgentRecord {
        address: address_from_number(entry.address),
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
        address: address_to_number(route.address),
        priority: u32::from(route.priority),
        objective_ms: route.latency_objective.0,
        shares: shares.collect(),
    }
}

fn read_route(entry: &RouteEntry) -> FlowRoute {
    let shares = entry.shares.iter().map(|share| ServiceShare {
        service: share.service.as_str().into(),
        weight: share.weight,
    });
    FlowRoute {
        address: address_from_number(entry.address),
        shares: shares.collect(),
        priority: u8::try_from(entry.priority).unwrap_or(u8::MAX),
        latency_objective: Millis(entry.objective_ms),
    }
}

fn write_service(rules: &ServiceConfig) -> ServiceEntry {
    ServiceEntry {
        name: rules.name.to_string(),
        cold_ms: rules.cold_duration.0,
        cold_rate: rules.cold_rate,
    }
}

fn read_service(entry: &ServiceEntry) -> ServiceConfig {
    ServiceConfig {
        name: entry.name.as_str().into(),
        cold_duration: Millis(entry.cold_ms),
        cold_rate: entry.cold_rate,
    }
}

fn write_agent(record: &AgentRecord) -> AgentEntry {
    AgentEntry {
        address: address_to_number(record.address),
        centre: record.centre.to_string(),
        service: record.service.to_string(),
    }
}
