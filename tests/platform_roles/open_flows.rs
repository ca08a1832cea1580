//! Open flows at an agent whose server is sound.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4,
        TcpListener, //
    },
    time::Duration,
};

use carobdrum_flows::process::name_hash;
use carobdrum_platform_standins::{
    flags,
    EndpointPacket,
    LeaseServer, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    ForwardedPacket, //
};
use rstest::rstest;
use tokio::{
    net::UdpSocket,
    task::JoinSet,
    time::timeout, //
};

use crate::role_process::{
    free_port,
    heartbeat_body,
    spawn,
    start_agent_with,
    RoleProcess, //
    STATE_TIMEOUT,
};

const ROUTE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);

const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"r","Host":"198.18.0.1","Prefix":"/443/",
    "Service":"s","Priority":1,"LatencyObjectiveMs":500}],"Services":[{"Name":"s"}],"Limits":{}}"#;

const CALLER_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 30);
const CALLER_PORT: u16 = 40_001;

/// First sequence number of the server.
pub(crate) const SERVER_SEQUENCE: u32 = 0x7000_0000;

/// Time for which a caller waits for a reset that must not come.
const QUIET_DURATION: Duration = Duration::from_millis(700);

/// Number of agents that are started at once, as an order of events at the start is seldom met.
const STARTED_AGENTS: usize = 24;

const READY_POLL_INTERVAL: Duration = Duration::from_micros(100);

/// An agent, with a caller, a balancer and a backend server around it.
pub(crate) struct FlowSite {
    pub(crate) agent: RoleProcess,
    caller: UdpSocket,
    balancer: UdpSocket,
    server: UdpSocket,
    pub(crate) store: LeaseServer,
}

impl FlowSite {
    async fn start() -> FlowSite {
        let site = FlowSite::start_unready().await;
        site.agent.wait_for_status(200).await;
        site
    }

    /// Starts an agent without waiting until it is ready.
    async fn start_unready() -> FlowSite {
        FlowSite::start_with("").await
    }

    /// Starts an agent with further settings, without waiting until it is ready.
    pub(crate) async fn start_with(further: &str) -> FlowSite {
        let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
        store.put("op/config", CONFIG);
        let port = free_port();
        let agent = start_agent_with(&store, port, free_port(), further);
        FlowSite {
            caller: UdpSocket::bind((CALLER_IP, port)).await.unwrap(),
            balancer: UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap(),
            server: UdpSocket::bind(agent.backend).await.unwrap(),
            agent,
            store,
        }
    }

    /// Sends a caller's packet to the agent, as its balancer does without another candidate.
    pub(crate) async fn forward(&self, flags: u8, acknowledged: u32, data: &[u8]) {
        let packet = EndpointPacket {
            from: SocketAddrV4::new(CALLER_IP, CALLER_PORT),
            to: ROUTE,
            flags,
            sequence: 7,
            acknowledged,
            data: data.to_vec(),
        };
        let forwarded = ForwardedPacket {
            balancer: address_to_number(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1)),
            centre: name_hash("north"),
            service: name_hash("s"),
            packet: packet.encode().into(),
            ..ForwardedPacket::default()
        };
        let datagram = FlowDatagram::encode_body(FlowBody::Forward(forwarded));
        let sent = self.balancer.send_to(&datagram, self.agent.packets).await;
        sent.unwrap();
    }

    /// Sends a packet of the server through its agent.
    async fn reply(&self, flags: u8, sequence: u32, data: &[u8]) {
        let packet = EndpointPacket {
            from: ROUTE,
            to: SocketAddrV4::new(CALLER_IP, CALLER_PORT),
            flags,
            sequence,
            acknowledged: 7,
            data: data.to_vec(),
        };
        let bytes = packet.encode();
        let sent = self.server.send_to(&bytes, self.agent.outgoing).await;
        sent.unwrap();
    }

    /// Opens a flow at the server, which answers its first request.
    pub(crate) async fn open_flow(&self) {
        self.forward(flags::SYN, 0, &[]).await;
        let opening = receive(&self.server, STATE_TIMEOUT).await.unwrap();
        assert_eq!(opening.flags, flags::SYN);
        self.reply(flags::SYN | flags::ACK, SERVER_SEQUENCE, &[])
            .await;
        let accepted = receive(&self.caller, STATE_TIMEOUT).await.unwrap();
        assert_eq!(accepted.flags, flags::SYN | flags::ACK);
        self.forward(flags::ACK, SERVER_SEQUENCE + 1, b"request")
            .await;
        let request = receive(&self.server, STATE_TIMEOUT).await.unwrap();
        assert_eq!(request.data, b"request");
        self.answer().await;
    }

    /// Sends a packet of the server, which is the next one that the caller gets.
    pub(crate) async fn answer(&self) {
        self.reply(flags::ACK, SERVER_SEQUENCE + 1, b"answer").await;
        let answer = receive(&self.caller, STATE_TIMEOUT).await.unwrap();
        assert_eq!(
            (answer.flags, answer.data),
            (flags::ACK, b"answer".to_vec())
        );
    }

    /// Kills the agent, starts it again, and waits until it is ready.
    pub(crate) async fn restart_agent(&mut self) {
        self.agent.child.kill().unwrap();
        self.agent.child.wait().unwrap();
        self.agent.child = spawn("agent", self.agent._folder.path());
        self.agent.wait_for_status(200).await;
    }

    /// Returns the sequence number of a reset that the caller gets; `None` without one.
    pub(crate) async fn reset_sequence(&self) -> Option<u32> {
        let packet = receive(&self.caller, QUIET_DURATION).await?;
        (packet.flags & flags::RST != 0).then_some(packet.sequence)
    }

    /// Returns whether the caller gets a reset.
    pub(crate) async fn is_reset(&self) -> bool {
        self.reset_sequence().await.is_some()
    }
}

/// Returns the next packet that arrives within `limit`.
async fn receive(socket: &UdpSocket, limit: Duration) -> Option<EndpointPacket> {
    let mut buffer = [0; 2_048];
    let length = timeout(limit, socket.recv(&mut buffer)).await.ok()?;
    EndpointPacket::decode(&buffer[..length.unwrap()])
}

/// Guards against the reset of a flow that an earlier copy of its opening packet has opened elsewhere.
#[rstest]
#[case::first_copy(0, true)]
#[case::first_retransmission(1, false)]
#[case::second_retransmission(2, false)]
#[tokio::test]
async fn only_the_first_copy_of_an_opening_packet_is_refused(
    #[case] retransmission: u32,
    #[case] is_refused: bool,
) {
    let site = FlowSite::start().await;
    site.forward(flags::SYN, retransmission, &[]).await;
    assert_eq!(site.is_reset().await, is_refused);
}

/// Guards against the loss of an opening packet that reaches an agent as soon as it is ready.
#[tokio::test(flavor = "multi_thread")]
async fn the_first_packet_of_a_ready_agent_is_refused() {
    let mut attempts = JoinSet::new();
    for _ in 0..STARTED_AGENTS {
        attempts.spawn(async {
            let site = FlowSite::start_unready().await;
            site.agent.poll_for_status(200, READY_POLL_INTERVAL).await;
            site.forward(flags::SYN, 0, &[]).await;
            site.is_reset().await
        });
    }
    let refused = attempts.join_all().await;
    assert_eq!(refused, [true; STARTED_AGENTS]);
}

/// Guards against the reset of all flows of a server whose agent gets the heartbeat of another one.
#[tokio::test]
async fn a_heartbeat_of_another_server_resets_no_flow() {
    let site = FlowSite::start().await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    let foreign = heartbeat_body("127.0.0.77:1", 2, 1, "ready");
    let response = site.agent.call("PUT", "i-2", &foreign).await;
    assert!(!response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(!site.is_reset().await);
}

/// Guards against the reset of a flow whose server has deregistered and hasn't ended yet.
#[rstest]
#[case::server_lives(true)]
#[case::server_has_ended(false)]
#[tokio::test]
async fn a_stopping_agent_resets_flows_only_if_the_server_has_ended(#[case] lives: bool) {
    let site = FlowSite::start().await;
    let listener = lives.then(|| TcpListener::bind(site.agent.backend).unwrap());
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.open_flow().await;
    site.agent.send_heartbeat(1, 2, "draining").await;
    let response = site.agent.call("DELETE", "i-1", "").await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    site.agent.signal(libc::SIGTERM);
    assert_eq!(site.is_reset().await, !lives);
    drop(listener);
}

/// Guards against a reset by a server that never held the flow, or has given up a copy of its opening packet.
#[tokio::test]
async fn the_reset_of_a_server_that_may_not_hold_the_flow_is_not_passed_on() {
    let site = FlowSite::start().await;
    site.agent.send_heartbeat(1, 1, "ready").await;
    site.forward(flags::ACK, 99, b"request").await;
    let request = receive(&site.server, STATE_TIMEOUT).await.unwrap();
    assert_eq!(request.data, b"request");
    site.reply(flags::RST, 99, &[]).await;
    assert!(!site.is_reset().await);
}
