//! Conversion between the state of the site and its snapshot.

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::{
        FlowRoute,
        FormerService,
        ProvisionalState,
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
        FormerEntry,
        ProvisionalEntry,
        RouteEntry,
        ServiceEntry,
        ShareEntry,
        SiteSnapshot, //
    },
};
use compact_str::CompactString;

use crate::connection::revision_and_era;

/// Longest time for which a peer's state of a data centre may differ from that in the store.
const MAX_PROVISIONAL: Millis = Millis(10_000);

/// Time until the history of a peer is complete that doesn't state one.
const UNKNOWN_GAP: Millis = Millis(u64::MAX);

/// Encodes the configuration and the agents, with times relative to `now`.
pub(crate) fn encode_snapshot(
    config: &SiteConfig,
    agents: &[AgentRecord],
    now: Millis,
) -> SiteSnapshot {
    let former = config.former_services.entries().iter();
    let provisional = config.provisional.iter();
    let (revision, era) = revision_and_era(config.revision);
    SiteSnapshot {
        era,
        provisional_centres: provisional
            .map(|state| encode_provisional(state, now))
            .collect(),
        former_services: former.map(|former| encode_former(former, now)).collect(),
        history_gap_ms: Some(config.history_complete_at.since(now).0),
        version: config.version,
        revision,
        idle_timeout_ms: config.idle_timeout.0,
        routes: config.routes().iter().map(encode_route).collect(),
        services: config.services().iter().map(encode_service).collect(),
        evacuated_centres: config
            .evacuated_centres()
            .iter()
            .map(ToString::to_string)
            .collect(),
        agents: agents.iter().map(encode_agent).collect(),
    }
}

/// Decodes the configuration of a snapshot that arrived at `now`, and whose order number is `revision`.
pub(crate) fn decode_config(snapshot: &SiteSnapshot, revision: u64, now: Millis) -> SiteConfig {
    let routes = snapshot.routes.iter().map(decode_route);
    let services = snapshot.services.iter().map(decode_service);
    let idle_timeout = Millis(snapshot.idle_timeout_ms);
    let mut config = SiteConfig::new(snapshot.version, idle_timeout, routes, services);
    config.revision = revision;
    let provisional = snapshot.provisional_centres.iter();
    config.provisional = provisional
        .map(|entry| decode_provisional(entry, now))
        .collect();
    config.set_evacuated_centres(snapshot.evacuated_centres.iter().map(CompactString::from));
    for entry in &snapshot.former_services {
        config.former_services.insert(decode_former(entry, now));
    }
    let gap = snapshot.history_gap_ms.map_or(UNKNOWN_GAP, Millis);
    config.history_complete_at = now.plus(gap);
    config
}

/// Decodes the agents of a snapshot.
pub(crate) fn decode_agents(snapshot: &SiteSnapshot) -> Vec<AgentRecord> {
    let agents = snapshot.agents.iter().map(|entry| AgentRecord {
        address: address_from_number(entry.address),
        centre: entry.centre.as_str().into(),
        service: entry.service.as_str().into(),
        is_leaving: entry.leaving,
    });
    agents.collect()
}

fn encode_route(route: &FlowRoute) -> RouteEntry {
    let shares = route.shares.iter().map(|share| ShareEntry {
        service: share.service.to_string(),
        weight: share.weight,
    });
    RouteEntry {
        address: address_to_number(route.address),
        priority: u32::from(route.priority),
        objective_ms: route.latency_objective.0,
        idempotent: route.is_idempotent,
        shares: shares.collect(),
    }
}

fn decode_route(entry: &RouteEntry) -> FlowRoute {
    let shares = entry.shares.iter().map(|share| ServiceShare {
        service: share.service.as_str().into(),
        weight: share.weight,
    });
    FlowRoute {
        address: address_from_number(entry.address),
        shares: shares.collect(),
        priority: u8::try_from(entry.priority).unwrap_or(u8::MAX),
        latency_objective: Millis(entry.objective_ms),
        is_idempotent: entry.idempotent,
    }
}

fn encode_provisional(state: &ProvisionalState, now: Millis) -> ProvisionalEntry {
    ProvisionalEntry {
        centre: state.centre.to_string(),
        evacuated: state.is_evacuated,
        remaining_ms: state.until.since(now).0,
    }
}

fn decode_provisional(entry: &ProvisionalEntry, now: Millis) -> ProvisionalState {
    let remaining = Millis(entry.remaining_ms).min(MAX_PROVISIONAL);
    ProvisionalState {
        centre: entry.centre.as_str().into(),
        is_evacuated: entry.evacuated,
        until: now.plus(remaining),
    }
}

fn encode_former(former: &FormerService, now: Millis) -> FormerEntry {
    FormerEntry {
        address: address_to_number(former.address),
        service: former.service.to_string(),
        remaining_ms: former.until.since(now).0,
    }
}

fn decode_former(entry: &FormerEntry, now: Millis) -> FormerService {
    FormerService {
        address: address_from_number(entry.address),
        service: entry.service.as_str().into(),
        until: now.plus(Millis(entry.remaining_ms)),
    }
}

fn encode_service(config: &ServiceConfig) -> ServiceEntry {
    ServiceEntry {
        name: config.name.to_string(),
        cold_ms: config.cold_duration.0,
        cold_rate: config.cold_rate,
    }
}

fn decode_service(entry: &ServiceEntry) -> ServiceConfig {
    ServiceConfig {
        name: entry.name.as_str().into(),
        cold_duration: Millis(entry.cold_ms),
        cold_rate: entry.cold_rate,
    }
}

fn encode_agent(record: &AgentRecord) -> AgentEntry {
    AgentEntry {
        address: address_to_number(record.address),
        centre: record.centre.to_string(),
        service: record.service.to_string(),
        leaving: record.is_leaving,
    }
}
