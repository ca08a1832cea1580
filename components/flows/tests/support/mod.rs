//! Routers, agents and packets for tests.

#![allow(dead_code, reason = "each test file uses a part")]

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
    request::ForwardHead,
    version::{
        FlowRoute,
        ServiceConfig,
        ServiceShare,
        SiteConfig, //
    },
    FlowKeeper,
    FlowKey,
    FlowPacket,
    FlowRouter,
    KeeperAction,
    KeeperSettings,
    PacketKind, //
};

pub(crate) const CENTRE: &str = "north";
pub(crate) const SERVICE: &str = "lookup";
pub(crate) const FENCE: Millis = Millis(1_900);
pub(crate) const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
pub(crate) const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000);

pub(crate) fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, number), 8_000)
}

pub(crate) fn rules(version: u64) -> SiteConfig {
    rules_with(version, None)
}

fn rules_with(version: u64, cold_rate: Option<f64>) -> SiteConfig {
    let route = FlowRoute {
        address: ROUTE,
        shares: vec![ServiceShare {
            service: SERVICE.into(),
            weight: 1,
        }],
        priority: 1,
        latency_objective: Millis(120),
    };
    let service = ServiceConfig {
        name: SERVICE.into(),
        cold_duration: Millis(2_000),
        cold_rate,
    };
    SiteConfig::new(version, Millis(15_000), [route], [service])
}

/// Returns a balancer that knows `agents` agents in its data centre.
pub(crate) fn router(agents: u8) -> FlowRouter {
    let mut router = FlowRouter::new(BALANCER, CENTRE);
    router.rules = Some(Arc::new(rules(1)));
    let records = (0..agents).map(|number| AgentRecord {
        address: agent(number),
        centre: CENTRE.into(),
        service: SERVICE.into(),
    });
    router.roster.replace(records, Millis(0));
    router
}

pub(crate) fn beat(sequence: u64, state: BackendState) -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-1".into(),
        started_ms: 1,
        sequence,
        service: SERVICE.into(),
        state,
        slots: 2,
        cold_remaining: Millis(0),
    }
}

/// Returns the agent with number 0, whose server is ready and has two slots.
pub(crate) fn keeper() -> FlowKeeper {
    let mut keeper = start_keeper();
    keeper.set_rules(Arc::new(rules(1)));
    assert!(keeper.take_beat(beat(1, BackendState::Ready), Millis(0)));
    keeper
}

/// Returns an agent that has not heard of its server, whose service states a rate for cold servers.
pub(crate) fn new_keeper(cold_rate: f64) -> FlowKeeper {
    let mut keeper = start_keeper();
    keeper.set_rules(Arc::new(rules_with(1, Some(cold_rate))));
    keeper
}

fn start_keeper() -> FlowKeeper {
    let settings = KeeperSettings {
        address: agent(0),
        centre: CENTRE.into(),
        service: SERVICE.into(),
        fence: FENCE,
        cold_factor: 1.5,
        cold_slack: 5.0,
    };
    FlowKeeper::new(settings, Millis(0))
}

pub(crate) fn key(caller: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 1_024 + caller),
        service: ROUTE,
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

/// Returns a head with the agents of these numbers as the further candidates.
pub(crate) fn head(rest: &[u8]) -> ForwardHead {
    ForwardHead {
        balancer: BALANCER,
        centre: name_hash(CENTRE),
        service: name_hash(SERVICE),
        revision: 1,
        hops: 0,
        rest: rest.iter().copied().map(agent).collect(),
        near: rest.len() as u8,
        best: None,
        assigned: false,
        delivered: false,
    }
}

pub(crate) fn forward(
    keeper: &mut FlowKeeper,
    packet: &FlowPacket,
    head: ForwardHead,
    now: Millis,
) -> Vec<KeeperAction> {
    let mut actions = Vec::new();
    keeper.take_forward(
        packet,
        &Bytes::from_static(b"packet"),
        head,
        now,
        &mut actions,
    );
    actions
}

pub(crate) fn backend(
    keeper: &mut FlowKeeper,
    packet: &FlowPacket,
    now: Millis,
) -> Vec<KeeperAction> {
    let mut actions = Vec::new();
    keeper.take_backend(packet, now, &mut actions);
    actions
}

/// Opens a flow at the server; the next packet of the caller may carry its request.
pub(crate) fn open_flow(keeper: &mut FlowKeeper, caller: u16, now: Millis) {
    forward(keeper, &open_packet(caller), head(&[]), now);
    backend(keeper, &packet(caller, PacketKind::Accept), now);
    forward(keeper, &packet(caller, PacketKind::Data), head(&[]), now);
}
