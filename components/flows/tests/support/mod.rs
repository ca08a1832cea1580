//! Fixtures for tests: routers, agents and packets.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod numbers;
pub(crate) mod reference_order;
pub(crate) mod scheduling;

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        name_hash,
        AgentRecord,
        BackendHeartbeat,
        BackendState, //
    },
    request::ForwardHeader,
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowKey,
    FlowPacket,
    FlowRouter,
    FlowTracker,
    PacketKind, //
    TrackerAction,
    TrackerSettings,
};

pub(crate) const CENTRE: &str = "north";
pub(crate) const SERVICE: &str = "lookup";
pub(crate) const ACTIVITY_TIMEOUT: Millis = Millis(1_900);
/// Start of agent 0 as Unix time: later than that of its server.
pub(crate) const AGENT_STARTED_MS: u64 = 1_000_000;
pub(crate) const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
/// Address of a route with a less urgent class than that of [`ROUTE`].
pub(crate) const SLOW_ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 8443);
pub(crate) const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000);

pub(crate) fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 8_000)
}

/// Returns the address of the server beside agent 0.
pub(crate) fn server() -> SocketAddrV4 {
    SocketAddrV4::new(*agent(0).ip(), 9_000)
}

pub(crate) fn config(version: u64) -> SiteConfig {
    config_with(version, None)
}

pub(crate) fn config_with(version: u64, cold_rate: Option<f64>) -> SiteConfig {
    let route = FlowRoute {
        address: ROUTE,
        shares: vec![ServiceShare {
            service: SERVICE.into(),
            weight: 1,
        }],
        priority: 1,
        latency_objective: Millis(120),
        is_idempotent: true,
    };
    let service = ServiceConfig {
        name: SERVICE.into(),
        cold_duration: Millis(2_000),
        cold_rate,
    };
    SiteConfig::new(version, Millis(15_000), [route], [service])
}

/// Returns the router of a balancer that knows `agents` agents in its data centre.
pub(crate) fn router(agents: u8) -> FlowRouter {
    let mut router = FlowRouter::new(BALANCER, CENTRE);
    router.config = Some(Arc::new(config(1)));
    let records = (0..agents).map(|number| AgentRecord {
        address: agent(number),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        is_leaving: false,
    });
    router.agents.replace(records, Millis(0));
    router
}

/// Returns a configuration whose routes of both addresses have these priorities.
pub(crate) fn scheduling_config(version: u64, priorities: [u8; 2]) -> SiteConfig {
    let routes = [ROUTE, SLOW_ROUTE].into_iter().zip(priorities);
    let routes = routes.map(|(address, priority)| FlowRoute {
        address,
        shares: vec![ServiceShare {
            service: SERVICE.into(),
            weight: 1,
        }],
        priority,
        latency_objective: Millis(300),
        is_idempotent: false,
    });
    let service = ServiceConfig {
        name: SERVICE.into(),
        cold_duration: Millis(2_000),
        cold_rate: None,
    };
    SiteConfig::new(version, Millis(15_000), routes, [service])
}

/// Returns a tracker whose server has this many slots and gets requests of two classes.
pub(crate) fn scheduling_tracker(slots: u32, schedule_requests: bool) -> FlowTracker {
    let mut settings = tracker_settings();
    settings.schedule_requests = schedule_requests;
    let mut tracker = FlowTracker::new(settings, AGENT_STARTED_MS, Millis(0));
    tracker.set_config(Arc::new(scheduling_config(1, [1, 2])), Millis(0));
    let mut heartbeat = heartbeat(1, BackendState::Ready);
    heartbeat.slots = slots;
    assert!(tracker.handle_heartbeat(heartbeat, Millis(0)).is_applied());
    tracker
}

pub(crate) fn heartbeat(sequence: u64, state: BackendState) -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-1".into(),
        address: server(),
        started_ms: 1,
        sequence,
        service: SERVICE.into(),
        state,
        slots: 2,
        cold_remaining: Millis(0),
    }
}

/// Returns the Unix time in milliseconds of a server that starts at `now`.
pub(crate) fn started_at(now: Millis) -> u64 {
    AGENT_STARTED_MS + now.0
}

/// Returns the flow tracker of agent 0, whose server is ready and has two slots.
pub(crate) fn tracker() -> FlowTracker {
    let mut tracker = start_tracker();
    tracker.set_config(Arc::new(config(1)), Millis(0));
    assert!(tracker
        .handle_heartbeat(heartbeat(1, BackendState::Ready), Millis(0))
        .is_applied());
    tracker
}

/// Returns the flow tracker of an agent without a heartbeat, whose service limits cold servers.
pub(crate) fn new_tracker(cold_rate: f64) -> FlowTracker {
    let mut tracker = start_tracker();
    tracker.set_config(Arc::new(config_with(1, Some(cold_rate))), Millis(0));
    tracker
}

/// Returns the flow tracker of an agent without a heartbeat and without a configuration.
pub(crate) fn start_tracker() -> FlowTracker {
    FlowTracker::new(tracker_settings(), AGENT_STARTED_MS, Millis(0))
}

pub(crate) fn tracker_settings() -> TrackerSettings {
    TrackerSettings {
        address: agent(0),
        server: server(),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        activity_timeout: ACTIVITY_TIMEOUT,
        cold_factor: 1.5,
        cold_slack: 5.0,
        flow_lifetime: Millis(60_000),
        reset_lost: false,
        schedule_requests: false,
    }
}

pub(crate) fn key(caller: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + caller),
        service_address: ROUTE,
    }
}

pub(crate) fn packet(caller: u16, kind: PacketKind) -> FlowPacket {
    FlowPacket {
        key: key(caller),
        kind,
        returned: false,
        sequence: 0,
        acknowledged: 0,
        data_len: 0,
    }
}

pub(crate) fn open_packet(caller: u16) -> FlowPacket {
    packet(caller, PacketKind::Open { retransmission: 0 })
}

/// Returns a header in which the agents of these numbers are the remaining candidates.
pub(crate) fn header(rest: &[u8]) -> ForwardHeader {
    ForwardHeader {
        balancer: BALANCER,
        centre_hash: name_hash(CENTRE),
        service_hash: name_hash(SERVICE),
        revision: 1,
        hops: 0,
        rest: rest.iter().copied().map(agent).collect(),
        near: rest.len() as u8,
        best: None,
        assigned: false,
        delivered: false,
        anchors: Vec::new(),
        is_firm: true,
        silent: 0,
    }
}

pub(crate) fn forward(
    tracker: &mut FlowTracker,
    packet: &FlowPacket,
    header: ForwardHeader,
    now: Millis,
) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    tracker.handle_forwarded(
        packet,
        &Bytes::from_static(b"packet"),
        header,
        now,
        &mut actions,
    );
    actions
}

pub(crate) fn backend(
    tracker: &mut FlowTracker,
    packet: &FlowPacket,
    now: Millis,
) -> Vec<TrackerAction> {
    let mut actions = Vec::new();
    if !packet.returned {
        tracker.note_activity(now);
    }
    tracker.handle_backend(packet, now, &mut actions);
    actions
}

/// Opens a flow at the server, so that the caller's next packet may carry its request.
pub(crate) fn open_flow(tracker: &mut FlowTracker, caller: u16, now: Millis) {
    forward(tracker, &open_packet(caller), header(&[]), now);
    backend(tracker, &packet(caller, PacketKind::Accept), now);
    forward(tracker, &packet(caller, PacketKind::Data), header(&[]), now);
}
