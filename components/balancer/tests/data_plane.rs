//! The data plane of a balancer between simulated callers and agents.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use carobdrum_core::{
    connection::FlowId,
    version::CentreState, //
};
use carobdrum_standins::PortMode;
use carobdrum_wire::{
    DatagramKind,
    TunnelHeader,
    HEADER_LEN, //
};
use common::{
    initial_packet,
    short_packet,
    FakeAgent,
    FakeCaller,
    TestBalancer,
    TestDeployment, //
};
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use tokio::time::sleep;

/// Time within which a silent path must be replaced: 250 ms of silence, two pings of 250 ms, and a
/// margin for a busy machine.
const MAX_SILENCE: Duration = Duration::from_secs(3);
/// Interval between the packets of a caller.
const PACKET_INTERVAL: Duration = Duration::from_millis(10);
/// Service port of the first service.
const PORT: u16 = 4433;

/// Starts a deployment with one balancer, one agent and one caller.
async fn start(number: u8) -> (TestDeployment, TestBalancer, FakeAgent, FakeCaller) {
    let deployment = TestDeployment::start(number).await;
    let balancer = deployment.balancer(1).await;
    let agent = FakeAgent::open(deployment.address(21, 7500)).await;
    let caller = FakeCaller::open(&balancer, PORT).await;
    (deployment, balancer, agent, caller)
}

/// Guards against a flow that stays on a path after a network device has dropped its state of it
/// without a sign.
#[tokio::test]
async fn silent_path_is_pinged_and_replaced() {
    let (deployment, balancer, mut agent, caller) = start(1).await;
    let packet = short_packet(&deployment.flow(&balancer.keys, "placename-api", agent.address));
    caller.send(&packet).await;
    let first = agent.read().await;
    let response = agent.response_to(&first, b"before");
    agent.send(&response, first.source).await;
    assert_eq!(caller.read().await, b"before");
    agent.ignore_pings_from(first.source.port());
    let start = Instant::now();
    let mut pings = 0;
    let moved = loop {
        caller.send(&packet).await;
        sleep(PACKET_INTERVAL).await;
        let read = agent.read().await;
        match read.header.kind {
            DatagramKind::Ping => pings += 1,
            _ if read.source.port() != first.source.port() => break read,
            _ => {}
        }
        assert!(
            start.elapsed() < MAX_SILENCE,
            "silent path not replaced after {pings} pings"
        );
    };
    assert_eq!(pings, 2);
    assert_eq!(balancer.metric("path_pings_total").await, 2);
    assert_eq!(balancer.metric("moved_paths_total").await, 1);
    let response = agent.response_to(&moved, b"after");
    agent.send(&response, moved.source).await;
    assert_eq!(caller.read().await, b"after");
}

/// Defines one named test case for each way to corrupt a sealed datagram.
macro_rules! corrupted {
    ($($name:ident: $number:expr, $corrupt:expr => $reason:expr;)*) => {
        /// Guards against unauthenticated datagrams that reach callers or the member list, and
        /// against drops counted under a wrong reason.
        #[rstest]
        $(#[case::$name($number, $corrupt, $reason)])*
        #[tokio::test]
        async fn corrupted_datagram_changes_nothing(
            #[case] number: u8,
            #[case] corrupt: fn(&mut Vec<u8>),
            #[case] reason: &str,
        ) {
            check_corrupted(number, corrupt, reason).await;
        }
    };
}

corrupted! {
    forged_header: 2, |datagram: &mut Vec<u8>| datagram[4] ^= 1 => "Forged";
    forged_payload: 3, |datagram: &mut Vec<u8>| datagram[HEADER_LEN] ^= 1 => "Forged";
    forged_tag: 4, |datagram: &mut Vec<u8>| *datagram.last_mut().unwrap() ^= 1 => "Forged";
    truncated: 5, |datagram: &mut Vec<u8>| datagram.truncate(HEADER_LEN) => "Truncated";
    oversized: 6, |datagram: &mut Vec<u8>| datagram.resize(3_000, 0) => "Oversized";
    unknown_format: 7, |datagram: &mut Vec<u8>| datagram[0] = 0 => "UnknownFormat";
    unknown_kind: 8, |datagram: &mut Vec<u8>| datagram[1] = 99 => "UnknownKind";
}

/// Sends a corrupted response to the tunnel port and a corrupted heartbeat to the control port.
async fn check_corrupted(number: u8, corrupt: fn(&mut Vec<u8>), reason: &str) {
    let (deployment, balancer, mut agent, caller) = start(number).await;
    let packet = short_packet(&deployment.flow(&balancer.keys, "placename-api", agent.address));
    caller.send(&packet).await;
    let read = agent.read().await;
    let mut response = agent.response_to(&read, &[7; 100]);
    corrupt(&mut response);
    agent.send(&response, read.source).await;
    let mut heartbeat = agent.heartbeat("placename-1");
    corrupt(&mut heartbeat);
    agent.send(&heartbeat, balancer.address).await;
    balancer.wait_dropped(reason, 2).await;
    assert_eq!(balancer.metric("answered_datagrams_total").await, 0);
    assert_eq!(balancer.metric("targets").await, 0);
    assert!(!caller.has_packet());
    let response = agent.response_to(&read, b"sound");
    agent.send(&response, read.source).await;
    assert_eq!(caller.read().await, b"sound");
}

/// Guards against a replayed datagram that reaches the caller twice.
#[tokio::test]
async fn replayed_datagram_is_dropped() {
    let (deployment, balancer, mut agent, caller) = start(9).await;
    let packet = short_packet(&deployment.flow(&balancer.keys, "placename-api", agent.address));
    caller.send(&packet).await;
    let read = agent.read().await;
    let response = agent.response_to(&read, b"once");
    agent.send(&response, read.source).await;
    agent.send(&response, read.source).await;
    balancer.wait_dropped("Replayed", 1).await;
    assert_eq!(caller.read().await, b"once");
    assert_eq!(balancer.metric("answered_datagrams_total").await, 1);
    assert!(!caller.has_packet());
}

/// Guards against a balancer that handles tunnel datagrams meant for agents.
#[tokio::test]
async fn forward_to_a_balancer_is_dropped() {
    let (deployment, balancer, mut agent, caller) = start(10).await;
    let packet = short_packet(&deployment.flow(&balancer.keys, "placename-api", agent.address));
    caller.send(&packet).await;
    let read = agent.read().await;
    let forward = agent.seal(&read.header, &packet);
    agent.send(&forward, read.source).await;
    agent.send(&forward, balancer.address).await;
    let ping = agent.seal(&TunnelHeader::new(DatagramKind::Ping), &[]);
    agent.send(&ping, read.source).await;
    balancer.wait_dropped("UnexpectedKind", 3).await;
    assert!(!caller.has_packet());
}

/// Guards against packets that reach another service, or an agent through a guessed connection ID.
#[tokio::test]
async fn foreign_and_forged_flows_are_dropped() {
    let (deployment, balancer, agent, caller) = start(11).await;
    let foreign = deployment.flow(&balancer.keys, "sheet-store", agent.address);
    caller.send(&short_packet(&foreign)).await;
    balancer.wait_dropped("ForeignService", 1).await;
    let mut forged = deployment.flow(&balancer.keys, "placename-api", agent.address);
    forged.0[19] ^= 1;
    caller.send(&short_packet(&forged)).await;
    let mut random = SmallRng::seed_from_u64(11);
    for _ in 0..100 {
        caller.send(&short_packet(&FlowId(random.random()))).await;
    }
    let unowned = async || balancer.dropped("Unowned").await == 101;
    common::wait_for("101 datagrams dropped as Unowned", unowned).await;
    assert_eq!(balancer.all_dropped().await, 102);
    assert_eq!(balancer.metric("forwarded_datagrams_total").await, 0);
}

/// Guards against traffic to an evacuated data centre, and against callers that wait for their idle
/// timeout because the reset doesn't carry the token that the agent gave them.
#[tokio::test]
async fn flow_of_an_evacuated_centre_is_reset() {
    let (mut deployment, balancer, agent, caller) = start(12).await;
    let flow = deployment.flow(&balancer.keys, "placename-api", agent.address);
    deployment.apply(CentreState::Out).await;
    let packet = short_packet(&flow);
    let mut sent = 0;
    common::wait_for("first reset", async || {
        caller.send(&packet).await;
        sent += 1;
        sleep(PACKET_INTERVAL).await;
        caller.has_packet()
    })
    .await;
    // Packets are handled in order, so none is forwarded after the first reset.
    let forwarded = balancer.metric("forwarded_datagrams_total").await;
    let token = balancer.keys.reset_token(&flow).unwrap();
    for _ in 0..10 {
        caller.send(&packet).await;
        sent += 1;
        let reset = caller.read().await;
        assert!(reset.ends_with(&token));
        assert_eq!(reset[0] >> 6, 1, "short header form");
        assert!((21..packet.len()).contains(&reset.len()), "{}", reset.len());
    }
    balancer.wait_dropped("TakenOut", sent - forwarded).await;
    let resets = balancer.metric("stateless_resets_total").await;
    assert_eq!(resets, sent - forwarded);
}

/// Guards against established flows that depend on the store or the member list.
#[tokio::test]
async fn established_flow_needs_neither_store_nor_members() {
    let (deployment, balancer, mut agent, caller) = start(13).await;
    deployment.store.set_mode(PortMode::Refusing).await;
    assert_eq!(balancer.metric("targets").await, 0);
    let packet = short_packet(&deployment.flow(&balancer.keys, "placename-api", agent.address));
    caller.send(&packet).await;
    let read = agent.read().await;
    assert_eq!(read.header.kind, DatagramKind::Forward);
    assert_eq!(read.payload, packet);
    assert_eq!(read.header.service_address, deployment.address(10, PORT));
}

/// Guards against two balancers that send packets of the same handshake to different agents.
#[tokio::test]
async fn two_balancers_place_flows_at_the_same_agents() {
    const FLOWS: u8 = 40;
    let deployment = TestDeployment::start(14).await;
    let balancers = [deployment.balancer(1).await, deployment.balancer(2).await];
    let addresses = balancers.each_ref().map(|balancer| balancer.address);
    let mut agents = Vec::new();
    for host in 21..24 {
        let mut agent = FakeAgent::open(deployment.address(host, 7500)).await;
        agent.announce(&format!("placename-{host}"), addresses.to_vec());
        agents.push(agent);
    }
    for balancer in &balancers {
        balancer.wait_metric("targets", 3).await;
        let caller = FakeCaller::open(balancer, PORT).await;
        for id in 0..FLOWS {
            caller.send(&initial_packet(&[id; 8])).await;
        }
        balancer
            .wait_metric("placed_first_packets_total", FLOWS.into())
            .await;
    }
    let mut placed = Vec::new();
    common::wait_for("first packets of both balancers", async || {
        for agent in &mut agents {
            while let Some(read) = agent.try_read() {
                placed.push((read.payload[6], agent.address, read.header.second));
            }
        }
        placed.len() >= 2 * usize::from(FLOWS)
    })
    .await;
    placed.sort_unstable_by_key(|&(id, agent, _)| (id, agent));
    for (index, pair) in placed.chunks(2).enumerate() {
        assert_eq!(usize::from(pair[0].0), index);
        assert_eq!(pair[0], pair[1]);
    }
    let first = placed[0].1;
    assert!(
        placed.iter().any(|placed| placed.1 != first),
        "all flows placed at one agent"
    );
}
