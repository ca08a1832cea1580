//! The store comes back from a copy that is some seconds old, and gives out revisions again.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    time::Duration,
};

use carobdrum_platform_standins::{
    flags,
    EndpointPacket,
    LeaseServer,
    StoreMode, //
};
use carobdrum_wire::{
    flow_datagram::{
        address_to_number,
        FlowBody,
        FlowDatagram,
        ServerReport, //
    },
    snapshot::SiteSnapshot,
};
use rstest::rstest;
use tokio::{
    net::UdpSocket,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    fake_balancer::FakeBalancer,
    fetch_snapshot,
    registrations::{
        wait_for_keys,
        RESET_LOST, //
    },
    role_process::{
        free_port,
        start_agent_with,
        start_balancer_with,
        RoleProcess,
        POLL_INTERVAL, //
    },
};

/// Time within which a change is in force everywhere.
const APPLY_LIMIT: Duration = Duration::from_secs(3);

/// Time for which the store is away before it comes back.
const AWAY: Duration = Duration::from_millis(300);

/// Delay after which the operator writes again what the copy lacks.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Writes of the system that the store loses, and that nobody repeats.
const LOST_WRITES: usize = 20;

/// Version of the configuration that the store loses, and that the operator writes again.
const LOST_VERSION: u64 = 2;

const LATER_VERSION: u64 = 3;

/// Time within which an agent registers again.
const REGISTER_LIMIT: Duration = Duration::from_secs(4);

const EVACUATION: &str = "op/evacuate/north";

fn put_config(store: &LeaseServer, version: u64) {
    let config = format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"r","Host":"198.18.0.1","Prefix":"/443/","Service":"s","Priority":1,
        "LatencyObjectiveMs":500}}],"Services":[{{"Name":"s"}}],"Limits":{{}}}}"#
    );
    store.put("op/config", &config);
}

async fn start_store() -> LeaseServer {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    put_config(&store, 1);
    store
}

async fn start_balancer(store: &LeaseServer, ip: Ipv4Addr, peer_port: u16) -> RoleProcess {
    let balancer = start_balancer_with(store, ip, peer_port, "", RESET_LOST);
    balancer.wait_for_status(200).await;
    balancer
}

/// Takes the store away for a moment after some changes, lets it come back from a copy without them, and waits until the
/// operator has written again.
async fn return_store(store: &LeaseServer) {
    let copy = store.copy();
    for _ in 0..LOST_WRITES {
        store.put("lost", "");
    }
    put_config(store, LOST_VERSION);
    sleep(Duration::from_secs(1)).await;
    store.set_mode(StoreMode::Unavailable);
    store.close_connections();
    sleep(AWAY).await;
    store.restore(&copy, REWRITE_DELAY);
    store.set_mode(StoreMode::Open);
    sleep(2 * REWRITE_DELAY).await;
}

/// Waits until the snapshot of a process is as expected.
async fn wait_for_snapshot(
    process: &RoleProcess,
    limit: Duration,
    is_expected: impl Fn(&SiteSnapshot) -> bool,
) {
    let wait = async {
        while !is_expected(&fetch_snapshot(process).await) {
            sleep(POLL_INTERVAL).await;
        }
    };
    let outcome = timeout(limit, wait).await;
    assert!(outcome.is_ok(), "{:?}", fetch_snapshot(process).await);
}

/// Sends opening packets of callers to a balancer until the test ends.
fn send_openings(balancer: &RoleProcess) {
    let to = balancer.packets;
    tokio::spawn(async move {
        let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
        for port in 40_000.. {
            let packet = EndpointPacket {
                from: SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 30), port),
                to: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
                flags: flags::SYN,
                sequence: 7,
                acknowledged: 0,
                data: Vec::new(),
            };
            // The balancer may have ended with the test.
            let _ = socket.send_to(&packet.encode(), to).await;
            sleep(POLL_INTERVAL).await;
        }
    });
}

/// Guards against agents that are told of no change after the store's return until its revisions have passed those
/// that it has lost: they refuse flows on a new route, and go on with a dropped one.
#[tokio::test]
async fn agents_are_told_of_changes_after_a_return() {
    let store = start_store().await;
    let agent = start_agent_with(&store, free_port(), free_port(), RESET_LOST);
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "ready").await;
    wait_for_keys(&store, 2, APPLY_LIMIT).await;
    let ip = Ipv4Addr::new(127, 0, 0, 40);
    let balancer = start_balancer(&store, ip, agent.peer_port).await;
    send_openings(&balancer);
    return_store(&store).await;
    for version in [LOST_VERSION, LATER_VERSION] {
        put_config(&store, version);
        for process in [&balancer, &agent] {
            let is_in_force = |snapshot: &SiteSnapshot| snapshot.version == version;
            wait_for_snapshot(process, APPLY_LIMIT, is_in_force).await;
        }
    }
}

/// Shows a balancer the report of an agent that knows nothing of the store's return, and serves the snapshot of that
/// agent, until the test ends.
async fn show_former_era(balancer: &RoleProcess, ip: Ipv4Addr) {
    let former = FakeBalancer::start(ip, balancer.peer_port).await;
    let to = SocketAddrV4::new(balancer.ip, balancer.peer_port);
    let (revision, era) = (1_000, Some(1));
    let report = FlowDatagram::encode_body(FlowBody::Report(ServerReport {
        agent: address_to_number(SocketAddrV4::new(ip, balancer.peer_port)),
        accepts: true,
        slots: 2,
        revision,
        era,
        centre: "north".into(),
        service: "s".into(),
        ..ServerReport::default()
    }));
    tokio::spawn(async move {
        loop {
            let snapshot = SiteSnapshot {
                version: 1,
                revision,
                era,
                ..SiteSnapshot::default()
            };
            tokio::select! {
                () = former.serve(snapshot) => {}
                () = sleep(POLL_INTERVAL) => {
                    // The balancer may have ended with the test.
                    let _ = former.socket.send_to(&report, to).await;
                }
            }
        }
    });
}

/// Guards against a balancer that starts after the return, takes the higher revision of an agent of the former era
/// for a newer state, and so forgets an evacuation or goes on with an older version.
#[rstest]
#[case::evacuation(false)]
#[case::version(true)]
#[tokio::test]
async fn a_restarted_balancer_follows_the_store_beside_agents_of_the_former_era(
    #[case] is_version: bool,
) {
    let store = start_store().await;
    return_store(&store).await;
    if !is_version {
        store.put(EVACUATION, "{}");
    }
    let ip = Ipv4Addr::new(127, 0, 0, 41);
    let balancer = start_balancer(&store, ip, free_port()).await;
    show_former_era(&balancer, Ipv4Addr::new(127, 0, 0, 42)).await;
    sleep(Duration::from_millis(1_500)).await;
    if is_version {
        put_config(&store, LATER_VERSION);
    }
    let expected = if is_version {
        LATER_VERSION
    } else {
        LOST_VERSION
    };
    let is_in_force = |snapshot: &SiteSnapshot| {
        snapshot.version == expected && snapshot.evacuated_centres.is_empty() == is_version
    };
    wait_for_snapshot(&balancer, APPLY_LIMIT, is_in_force).await;
    sleep(Duration::from_millis(1_500)).await;
    let snapshot = fetch_snapshot(&balancer).await;
    assert!(is_in_force(&snapshot), "{snapshot:?}");
}

/// Guards against an evacuation that ends with the store's return, as the copy lacks it.
#[tokio::test]
async fn an_evacuation_holds_through_a_return() {
    let store = start_store().await;
    let ip = Ipv4Addr::new(127, 0, 0, 43);
    let balancer = start_balancer(&store, ip, free_port()).await;
    let copy = store.copy();
    store.put(EVACUATION, "{}");
    let is_evacuated = |snapshot: &SiteSnapshot| !snapshot.evacuated_centres.is_empty();
    wait_for_snapshot(&balancer, APPLY_LIMIT, is_evacuated).await;
    store.restore(&copy, Duration::from_secs(2));
    for _ in 0..60 {
        let snapshot = fetch_snapshot(&balancer).await;
        assert!(is_evacuated(&snapshot), "{snapshot:?}");
        sleep(POLL_INTERVAL).await;
    }
    store.remove(EVACUATION);
    let has_ended = |snapshot: &SiteSnapshot| !is_evacuated(snapshot);
    wait_for_snapshot(&balancer, APPLY_LIMIT, has_ended).await;
}

/// Guards against an agent that keeps the lease of another one alive, whose id is the same since the return, and so isn't
/// registered itself.
#[tokio::test]
async fn an_agent_registers_again_after_a_return() {
    let store = start_store().await;
    let copy = store.copy();
    let agents = [(); 3].map(|()| start_agent_with(&store, free_port(), free_port(), RESET_LOST));
    for agent in &agents {
        agent.wait_for_status(200).await;
        agent.send_heartbeat(1, 1, "ready").await;
    }
    wait_for_keys(&store, 6, APPLY_LIMIT).await;
    store.restore(&copy, REWRITE_DELAY);
    wait_for_keys(&store, 6, REGISTER_LIMIT).await;
    assert_eq!(store.calls("kv-lease-end"), 0);
}
