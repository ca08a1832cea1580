//! The platform roles as processes.

mod fake_balancer;
mod handovers;
mod odd_heartbeats;
mod open_flows;
mod registrations;
mod role_process;
mod saved_flows;
mod silent_servers;
mod store_returns;

use std::{
    fs,
    net::{
        Ipv4Addr,
        SocketAddrV4,
        UdpSocket, //
    },
    time::Duration,
};

use bytes::Bytes;
use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use carobdrum_wire::{
    flow_datagram::{
        address_to_number,
        FlowBody,
        FlowDatagram,
        ForwardedPacket,
        ReportProbe, //
    },
    snapshot::{
        SiteSnapshot,
        MAX_SNAPSHOT_LEN, //
    },
};
use futures_util::StreamExt;
use prost::Message;
use rand::{
    rngs::SmallRng,
    Rng,
    SeedableRng, //
};
use rstest::rstest;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::codec::{
    Framed,
    LengthDelimitedCodec, //
};

use crate::{
    fake_balancer::FakeBalancer,
    role_process::{
        free_port,
        start_agent,
        start_agent_at,
        start_balancer,
        start_balancer_at,
        start_store,
        RoleProcess,
        POLL_INTERVAL,
        STATE_TIMEOUT, //
    },
};

/// Guards against a process that exits on SIGHUP instead of reading its settings again.
#[tokio::test]
async fn keeps_running_after_a_settings_reload() {
    let store = start_store().await;
    let balancer = start_balancer(&store);
    balancer.wait_for_status(200).await;
    balancer.signal(libc::SIGHUP);
    sleep(POLL_INTERVAL).await;
    balancer.wait_for_status(200).await;
}

/// Guards against a graceful shutdown that drops packets which routers still send: for a while the
/// balancer must report that it isn't ready before it exits.
#[tokio::test]
async fn keeps_running_while_readiness_reports_its_shutdown() {
    let store = start_store().await;
    let mut balancer = start_balancer(&store);
    balancer.wait_for_status(200).await;
    balancer.signal(libc::SIGTERM);
    balancer.wait_for_status(503).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(balancer.status().await, Some(503));
    balancer.wait_for_exit().await;
}

/// Guards against balancers that can't start while the store is unresponsive.
#[tokio::test]
async fn starts_from_another_balancer_while_the_store_is_unavailable() {
    let store = start_store().await;
    let first = start_balancer(&store);
    first.wait_for_status(200).await;
    store.set_mode(StoreMode::Unresponsive);
    let ip = Ipv4Addr::new(127, 0, 0, 2);
    let second = start_balancer_at(&store, ip, first.peer_port, &[first.ip]);
    second.wait_for_status(200).await;
}

/// Guards against an agent that balancers can't find, or that they still find after its shutdown.
#[tokio::test]
async fn agent_has_a_store_entry_until_its_shutdown() {
    let store = start_store().await;
    let mut agent = start_agent(&store);
    let count = |keys: usize| {
        let store = &store;
        let wait = async move {
            while store.keys("agents/").len() != keys {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(STATE_TIMEOUT, wait)
    };
    agent.wait_for_status(200).await;
    assert_eq!(store.keys("agents/").len(), 0, "its server may not exist");
    agent.send_heartbeat(1, 1, "ready").await;
    count(1).await.expect("store entry not written in time");
    agent.signal(libc::SIGTERM);
    count(0).await.expect("store entry not deleted in time");
    agent.wait_for_exit().await;
}

/// Guards against a process that stays ready without a traffic thread. Here the thread fails since
/// its address is in use.
#[tokio::test]
async fn exits_when_its_traffic_thread_fails() {
    let store = start_store().await;
    let taken = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let mut agent = start_agent_at(&store, taken.local_addr().unwrap().port(), free_port());
    agent.wait_for_exit().await;
}

/// Guards against agents that lag behind their balancers, which are the only ones that tell them of
/// a change: the balancer that showed it first may be gone, and the store may be silent.
#[rstest]
#[case::store_answers(StoreMode::Open)]
#[case::store_is_silent(StoreMode::Unresponsive)]
#[tokio::test]
async fn agent_follows_the_configuration_of_its_balancers(#[case] mode: StoreMode) {
    let store = start_store().await;
    let (packet_port, peer_port) = (free_port(), free_port());
    let agent = start_agent_at(&store, packet_port, peer_port);
    let address = SocketAddrV4::new(agent.ip, packet_port);
    agent.wait_for_status(200).await;
    let gone = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, 3), peer_port).await;
    gone.show_until(address, 0, 1).await;
    store.set_mode(mode);
    let lives = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, 4), peer_port).await;
    // The first balancer shows the revision and is then gone.
    drop(gone.snapshots);
    let probe = FlowDatagram::encode_body(FlowBody::Probe(ReportProbe {
        balancer: address_to_number(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 3), peer_port)),
        revision: 9,
        era: None,
    }));
    gone.socket.send_to(&probe, address).await.unwrap();
    drop(gone.socket);
    tokio::join!(lives.show_until(address, 9, 9), lives.serve_snapshot(9));
}

/// Time within which an agent gets its first configuration from a balancer, less than that of one attempt to read the store.
const FIRST_CONFIG_LIMIT: Duration = Duration::from_millis(900);

/// Guards against an agent that waits for a silent store although a balancer could tell it the configuration: meanwhile it
/// doesn't know the limit of its server.
#[tokio::test]
async fn an_agent_without_the_store_asks_a_balancer_soon() {
    let store = start_store().await;
    store.set_mode(StoreMode::Unresponsive);
    let (packet_port, peer_port) = (free_port(), free_port());
    let agent = start_agent_at(&store, packet_port, peer_port);
    let address = SocketAddrV4::new(agent.ip, packet_port);
    agent.wait_for_status(200).await;
    let balancer = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, 11), peer_port).await;
    let told = async {
        tokio::join!(
            balancer.show_until(address, 9, 9),
            balancer.serve_snapshot(9)
        )
    };
    let told = timeout(FIRST_CONFIG_LIMIT, told).await;
    assert!(told.is_ok(), "the agent has no configuration yet");
}

/// Guards against an agent without a configuration because a balancer shows one while the agent
/// reads the store, and then doesn't deliver it.
#[tokio::test]
async fn agent_reads_the_store_while_balancers_deliver_nothing() {
    let store = start_store().await;
    let (packet_port, peer_port) = (free_port(), free_port());
    let balancer = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, 5), peer_port).await;
    store.set_mode(StoreMode::Unavailable);
    let agent = start_agent_at(&store, packet_port, peer_port);
    let address = SocketAddrV4::new(agent.ip, packet_port);
    balancer.show_until(address, u64::MAX, 0).await;
    store.set_mode(StoreMode::Open);
    balancer.show_until(address, u64::MAX, 1).await;
}

/// Waits until the only agent's store entry shows whether its server is leaving.
async fn wait_for_leaving(store: &LeaseServer, is_leaving: bool) {
    let expected = format!(r#""leaving":{is_leaving}"#);
    let shows = |value: &Vec<u8>| String::from_utf8_lossy(value).contains(&expected);
    let wait = async {
        while !store.values("agents/").iter().any(shows) {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(STATE_TIMEOUT, wait)
        .await
        .expect("store entry not changed in time");
}

/// Guards against new flows at a server that is leaving, after its agent was killed and has started
/// again: only the store knows of the earlier heartbeats then.
#[tokio::test]
async fn entry_of_a_leaving_server_survives_a_restart_of_its_agent() {
    let store = start_store().await;
    let packet_port = free_port();
    let agent = start_agent_at(&store, packet_port, free_port());
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "ready").await;
    wait_for_leaving(&store, false).await;
    agent.send_heartbeat(1, 2, "draining").await;
    wait_for_leaving(&store, true).await;
    drop(agent);
    let agent = start_agent_at(&store, packet_port, free_port());
    agent.wait_for_status(200).await;
    sleep(Duration::from_secs(1)).await;
    wait_for_leaving(&store, true).await;
    agent.send_heartbeat(1, 3, "draining").await;
    sleep(POLL_INTERVAL).await;
    wait_for_leaving(&store, true).await;
    agent.send_heartbeat(2, 1, "ready").await;
    wait_for_leaving(&store, false).await;
}

/// Sends malformed requests to an HTTP port. The process may answer, or close the connection.
async fn send_malformed_requests(port: SocketAddrV4, random: &mut SmallRng) {
    for number in 0..20 {
        let body: Vec<u8> = (0..random.random_range(0..200))
            .map(|_| random.random())
            .collect();
        let head = match number % 4 {
            0 => "PUT /carobdrum/instances/i-1 HTTP/1.1\r\nContent-Length: 9999999999999999999999",
            1 => "PUT /carobdrum/instances/%00/.. HTTP/1.1\r\nContent-Length: 4",
            2 => "\0\0\0 / HTTP/9.9",
            _ => "DELETE /carobdrum/instances/ HTTP/1.1\r\nTransfer-Encoding: chunked",
        };
        let Ok(mut stream) = TcpStream::connect(port).await else {
            continue;
        };
        let mut request = format!("{head}\r\nHost: a\r\n\r\n").into_bytes();
        request.extend(body);
        // The process may have closed the connection after the head.
        let _ = stream.write_all(&request).await;
    }
}

/// Returns a random loopback address as a number, since the process may send to it.
fn loopback_number(random: &mut SmallRng) -> u64 {
    let ip = Ipv4Addr::new(127, random.random(), random.random(), random.random());
    address_to_number(SocketAddrV4::new(ip, random.random()))
}

/// Sends datagrams that are random, or well formed with a random packet.
async fn send_malformed_datagrams(port: SocketAddrV4, random: &mut SmallRng) {
    let socket = tokio::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .unwrap();
    for number in 0..400 {
        let bytes: Vec<u8> = (0..random.random_range(0..1_400))
            .map(|_| random.random())
            .collect();
        let datagram = if number % 2 == 0 {
            bytes
        } else {
            FlowDatagram::encode_body(FlowBody::Forward(ForwardedPacket {
                balancer: loopback_number(random),
                hops: random.random(),
                near: random.random(),
                best_agent: loopback_number(random),
                best_wait_us: u32::MAX,
                revision: random.random(),
                rest: (0..random.random_range(0..100))
                    .map(|_| loopback_number(random))
                    .collect(),
                packet: Bytes::from(bytes),
                ..ForwardedPacket::default()
            }))
        };
        // A process without a socket there refuses the datagram.
        let _ = socket.send_to(&datagram, port).await;
    }
}

/// Guards against a malformed message that ends a process, on each of its sockets.
#[tokio::test]
async fn malformed_messages_end_no_process() {
    let store = start_store().await;
    store.put("agents/not an address", "{}");
    store.put("agents/127.0.0.1:9", "[1]");
    store.put("op/evacuate/", "\u{0}");
    let (agent_port, peer_port) = (free_port(), free_port());
    let mut agent = start_agent_at(&store, agent_port, peer_port);
    let mut balancer = start_balancer(&store);
    agent.wait_for_status(200).await;
    balancer.wait_for_status(200).await;
    store.put("op/config", "{\"Version\":");
    let mut random = SmallRng::seed_from_u64(5);
    let at = |port| SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    for port in [
        at(agent_port),
        at(balancer.peer_port),
        balancer.packets,
        agent.outgoing,
    ] {
        send_malformed_datagrams(port, &mut random).await;
    }
    for port in [
        agent.ready,
        agent.heartbeats,
        balancer.ready,
        at(agent.peer_port),
        at(balancer.peer_port),
    ] {
        send_malformed_requests(port, &mut random).await;
    }
    agent.send_heartbeat(1, 1, "ready").await;
    wait_for_leaving(&store, false).await;
    for process in [&mut agent, &mut balancer] {
        assert_eq!(process.status().await, Some(200));
        assert!(process.child.try_wait().unwrap().is_none());
    }
}

/// Returns the snapshot that a balancer serves.
async fn fetch_snapshot(balancer: &RoleProcess) -> SiteSnapshot {
    let address = SocketAddrV4::new(balancer.ip, balancer.peer_port);
    let stream = TcpStream::connect(address).await.unwrap();
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_SNAPSHOT_LEN)
        .new_codec();
    let frame = Framed::new(stream, codec).next().await.unwrap().unwrap();
    SiteSnapshot::decode(frame).unwrap()
}

/// Returns the largest resident memory that a process has had, in megabytes.
fn peak_memory_mb(process: &RoleProcess) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.child.id())).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1));
    kilobytes.unwrap().parse::<u64>().unwrap() / 1_024
}

/// Writes the entries of this many agents that don't run.
fn put_agents(store: &LeaseServer, count: u32) {
    for number in 0..count {
        let [_, high, middle, low] = number.to_be_bytes();
        let key = format!("agents/127.{}.{middle}.{low}:1", 100 + high);
        store.put(&key, r#"{"centre":"north","service":"s","leaving":false}"#);
    }
}

/// Guards against a balancer that can't start, or that lists other agents than the valid ones, because
/// entries of other writers and of newer builds are among those of a large fleet.
#[tokio::test]
async fn a_large_list_with_odd_entries_is_read_in_full() {
    let store = start_store().await;
    put_agents(&store, 5_000);
    for (key, value) in [
        (
            "agents/127.100.0.1:00001",
            r#"{"centre":"north","service":"s"}"#,
        ),
        (
            "agents/127.100.0.1:99999",
            r#"{"centre":"north","service":"s"}"#,
        ),
        ("agents/127.9.0.1:0", r#"{"centre":"north","service":"s"}"#),
        ("agents/127.9.0.2:1", &"[".repeat(100_000)),
        (
            "agents/127.9.0.3:1",
            r#"{"centre":"north","service":1e999}"#,
        ),
        ("agents/127.9.0.4:1", "\u{0}"),
        ("agents/a b&c=d#", "{}"),
    ] {
        store.put(key, value);
    }
    let unknown_centre = r#"{"centre":"nowhere","service":"s"}"#;
    store.put("agents/127.9.0.5:1", unknown_centre);
    let newer = r#"{"centre":"north","service":"s","leaving":false,"weight":{"a":[1.5]}}"#;
    store.put("agents/127.9.0.6:1", newer);
    let balancer = start_balancer(&store);
    balancer.wait_for_status(200).await;
    let snapshot = fetch_snapshot(&balancer).await;
    assert_eq!(snapshot.agents.len(), 5_002);
    store.put("agents/127.9.0.7:1", newer);
    let wait = async {
        while fetch_snapshot(&balancer).await.agents.len() != 5_003 {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(STATE_TIMEOUT, wait)
        .await
        .expect("the balancer no longer follows the list");
}

/// Guards against a process that can't start because a peer's snapshot is cut short or malformed.
#[rstest]
#[case::cut_short(&[0, 0, 1, 0, 8, 1])]
#[case::malformed(&[0, 0, 0, 3, 255, 255, 255])]
#[case::too_long(&[255, 255, 255, 255, 0])]
#[case::empty(&[])]
#[tokio::test]
async fn a_bad_snapshot_is_skipped(#[case] bytes: &'static [u8]) {
    let store = start_store().await;
    let good = start_balancer(&store);
    good.wait_for_status(200).await;
    store.set_mode(StoreMode::Unresponsive);
    let bad_ip = Ipv4Addr::new(127, 0, 0, 6);
    let bad = tokio::net::TcpListener::bind((bad_ip, good.peer_port))
        .await
        .unwrap();
    let served = tokio::spawn(async move {
        let (mut stream, _) = bad.accept().await.unwrap();
        stream.write_all(bytes).await.unwrap();
    });
    let ip = Ipv4Addr::new(127, 0, 0, 7);
    let starting = start_balancer_at(&store, ip, good.peer_port, &[bad_ip, good.ip]);
    starting.wait_for_status(200).await;
    served.await.unwrap();
}

/// Limits of the resident memory of the processes, in megabytes, at a fleet of 530 balancers and 5,700
/// agents.
const MAX_BALANCER_MB: u64 = 99;
const MAX_AGENT_MB: u64 = 79;

/// Guards against processes that need more memory than the VMs of a large fleet have.
#[tokio::test]
async fn memory_stays_under_its_limit_at_the_target_size() {
    let store = start_store().await;
    let small = start_balancer(&store);
    small.wait_for_status(200).await;
    let small_mb = peak_memory_mb(&small);
    put_agents(&store, 5_700);
    let peers: Vec<Ipv4Addr> = (0..300).map(|_| Ipv4Addr::new(127, 0, 0, 9)).collect();
    let ip = Ipv4Addr::new(127, 0, 0, 8);
    let balancer = start_balancer_at(&store, ip, free_port(), &peers);
    balancer.wait_for_status(200).await;
    let agent = start_agent(&store);
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "ready").await;
    sleep(Duration::from_secs(1)).await;
    let listed = fetch_snapshot(&balancer).await.agents.len();
    assert_eq!(listed, 5_701, "the agent that was started is one of them");
    let (balancer_mb, agent_mb) = (peak_memory_mb(&balancer), peak_memory_mb(&agent));
    println!(
        "peak MB: balancer {small_mb} without agents, {balancer_mb} with 5,700; agent {agent_mb}"
    );
    assert!(balancer_mb < MAX_BALANCER_MB, "{balancer_mb} MB");
    assert!(agent_mb < MAX_AGENT_MB, "{agent_mb} MB");
}

/// A packet of a backend server that accepts a flow.
const ACCEPT_PACKET: [u8; 32] = [
    0xa1, 0xb2, 0xc3, 0xd5, 0, 0, 0, 0, 0x82, 0, 0, 0, 0, 1, 0, 0, 0, 0, 198, 18, 0, 1, 0x9c, 0x41,
    0x01, 0xbb, 100, 64, 0, 7, 0, 0,
];

/// Guards against new flows at a server that ended while its agent was paused: heartbeats and packets
/// that it had sent before waited in the sockets of the agent.
#[tokio::test]
async fn a_paused_agent_doesnt_take_what_waited_for_activity() {
    let store = start_store().await;
    let (packet_port, peer_port) = (free_port(), free_port());
    let agent = start_agent_at(&store, packet_port, peer_port);
    let balancer = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, 10), peer_port).await;
    agent.wait_for_status(200).await;
    agent.send_heartbeat(1, 1, "ready").await;
    sleep(Duration::from_millis(150)).await;
    assert!(balancer.asks_whether_accepting(agent.packets).await);

    agent.signal(libc::SIGSTOP);
    let waiting = timeout(POLL_INTERVAL, agent.send_heartbeat(1, 2, "ready")).await;
    assert!(waiting.is_err(), "the agent is paused");
    let server = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for _ in 0..100 {
        server.send_to(&ACCEPT_PACKET, agent.outgoing).unwrap();
    }
    sleep(Duration::from_millis(2_200)).await;
    agent.signal(libc::SIGCONT);
    for _ in 0..10 {
        assert!(!balancer.asks_whether_accepting(agent.packets).await);
        sleep(POLL_INTERVAL).await;
    }
    agent.send_heartbeat(1, 3, "ready").await;
    assert!(balancer.asks_whether_accepting(agent.packets).await);
}
