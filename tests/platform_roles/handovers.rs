//! Deletions of registrations that agents hand over to balancers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    time::Duration,
};

use carobdrum_flows::version::StoreRevision;
use carobdrum_platform::{
    registration_key,
    StoreClient, //
};
use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    RegistrationEnded, //
};
use prost::Message;
use rstest::rstest;
use tokio::{
    io::copy_bidirectional,
    net::{
        TcpListener,
        TcpStream,
        UdpSocket, //
    },
    task::JoinSet,
    time::{
        sleep,
        timeout, //
    },
};

use crate::{
    fake_balancer::FakeBalancer,
    registrations::{
        start_draining,
        wait_for_keys,
        RESET_LOST,
        VALUE, //
    },
    role_process::{
        free_port,
        start_agent_beside,
        start_balancer_with,
        start_store,
        RoleProcess,
        STATE_TIMEOUT, //
    },
};

/// An agent whose server has ended: its address, and the revision of its registration.
struct EndedAgent {
    socket: UdpSocket,
    address: SocketAddrV4,
    revision: StoreRevision,
}

impl EndedAgent {
    /// Registers an agent at the store.
    async fn register(store: &LeaseServer, ip: Ipv4Addr) -> EndedAgent {
        let address = SocketAddrV4::new(ip, free_port());
        store.put(&format!("agents/{address}"), VALUE);
        store.put(&registration_key(address), VALUE);
        let mut client = StoreClient::new(store.address(), STATE_TIMEOUT);
        let listing = client.list(&registration_key(address)).await.unwrap();
        EndedAgent {
            socket: UdpSocket::bind(address).await.unwrap(),
            address,
            revision: StoreRevision::from_order(listing.items[0].revision),
        }
    }

    /// Hands the deletion over to a balancer from this socket.
    async fn hand_over(&self, from: &UdpSocket, balancer: &RoleProcess) {
        let message = FlowDatagram::encode_body(FlowBody::RegistrationEnded(RegistrationEnded {
            agent: address_to_number(self.address),
            revision: self.revision.number,
            era: self.revision.stated_era(),
        }));
        let to = SocketAddrV4::new(balancer.ip, balancer.peer_port);
        from.send_to(&message, to).await.unwrap();
    }
}

async fn start_balancer(store: &LeaseServer, further: &str) -> RoleProcess {
    let balancer = start_balancer_with(store, Ipv4Addr::LOCALHOST, free_port(), "", further);
    balancer.wait_for_status(200).await;
    balancer
}

/// Starts a balancer in the test, from which the agent has had a packet.
async fn start_fake_balancer(last: u8, agent: &RoleProcess) -> FakeBalancer {
    let balancer = FakeBalancer::start(Ipv4Addr::new(127, 0, 0, last), agent.peer_port).await;
    balancer.show_until(agent.packets, 0, 0).await;
    balancer
}

/// Guards against a registration that stays although its agent reaches balancers that reach the store, and
/// against a call to the store for each copy of the message.
#[rstest]
#[case::store_answers(StoreMode::Open)]
#[case::store_refuses(StoreMode::Unavailable)]
#[case::store_is_silent(StoreMode::Unresponsive)]
#[tokio::test]
async fn balancer_deletes_what_an_agent_hands_over(#[case] mode: StoreMode) {
    let store = start_store().await;
    let agent = EndedAgent::register(&store, Ipv4Addr::LOCALHOST).await;
    let balancer = start_balancer(&store, RESET_LOST).await;
    store.set_mode(mode);
    for _ in 0..4 {
        agent.hand_over(&agent.socket, &balancer).await;
        sleep(Duration::from_millis(500)).await;
    }
    store.set_mode(StoreMode::Open);
    wait_for_keys(&store, 0, Duration::from_secs(3)).await;
    if mode == StoreMode::Open {
        assert_eq!(store.calls("kv-txn"), 1);
    }
}

/// Guards against the deletion of a registration that its agent hasn't given up: another process has written
/// it since, or the message comes from another address; and against calls to the store for any sender.
#[rstest]
#[case::setting_is_off("", 0)]
#[case::new_process_has_registered(RESET_LOST, 1)]
#[case::another_sender(RESET_LOST, 2)]
#[case::another_revision(RESET_LOST, 3)]
#[case::agent_is_unknown(RESET_LOST, 4)]
#[tokio::test]
async fn balancer_keeps_other_registrations(#[case] further: &str, #[case] cause: u8) {
    let store = start_store().await;
    let mut agent = EndedAgent::register(&store, Ipv4Addr::LOCALHOST).await;
    let balancer = start_balancer(&store, further).await;
    let other = UdpSocket::bind((Ipv4Addr::new(127, 0, 0, 9), 0))
        .await
        .unwrap();
    let mut from = &agent.socket;
    match cause {
        1 => store.put(&registration_key(agent.address), VALUE),
        2 => from = &other,
        3 => agent.revision.number += 1,
        4 => {
            agent.address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, free_port());
            agent.socket = UdpSocket::bind(agent.address).await.unwrap();
            from = &agent.socket;
        }
        _ => {}
    }
    for _ in 0..2 {
        agent.hand_over(from, &balancer).await;
        sleep(Duration::from_millis(600)).await;
    }
    if [0, 2, 4].contains(&cause) {
        assert_eq!(store.calls("kv-txn"), 0);
    }
    assert_eq!(store.keys("agents/").len(), 2);
}

/// Guards against an agent that can't reach the store and tells no balancer, tells it once only, or shows by
/// reports that it lives.
#[tokio::test]
async fn agent_hands_over_what_it_cannot_delete() {
    let store = start_store().await;
    let mut agent = start_draining(&store, StoreMode::Open).await;
    let balancer = start_fake_balancer(8, &agent).await;
    let mut client = StoreClient::new(store.address(), STATE_TIMEOUT);
    let listing = client.list(&registration_key(agent.packets)).await.unwrap();
    store.set_mode(StoreMode::Unresponsive);
    agent.signal(libc::SIGTERM);
    let mut messages = 0;
    let mut buffer = [0; 2_048];
    let receive = async {
        while messages < 3 {
            let length = balancer.socket.recv(&mut buffer).await.unwrap();
            match FlowDatagram::decode(&buffer[..length]).unwrap().body {
                Some(FlowBody::RegistrationEnded(message)) => {
                    assert_eq!(message.agent, address_to_number(agent.packets));
                    let revision = StoreRevision::stated(message.era, message.revision);
                    assert_eq!(revision.order(), listing.items[0].revision);
                    messages += 1;
                    let probe = balancer.probe(0);
                    balancer
                        .socket
                        .send_to(&probe, agent.packets)
                        .await
                        .unwrap();
                }
                Some(FlowBody::Report(_)) => assert_eq!(messages, 0, "the agent reports on"),
                body => panic!("{body:?}"),
            }
        }
    };
    timeout(STATE_TIMEOUT, receive).await.expect("no message");
    store.set_mode(StoreMode::Open);
    wait_for_keys(&store, 0, STATE_TIMEOUT).await;
    agent.wait_for_exit().await;
}

/// Guards against an agent that hands over the registration of a server that lives, or one that it has
/// deleted itself.
#[rstest]
#[case::server_lives(true)]
#[case::store_answers(false)]
#[tokio::test]
async fn agent_hands_over_nothing_else(#[case] lives: bool) {
    let store = start_store().await;
    let mut agent = start_draining(&store, StoreMode::Open).await;
    let _listener = lives.then(|| std::net::TcpListener::bind(agent.backend).unwrap());
    let balancer = start_fake_balancer(7, &agent).await;
    if lives {
        store.set_mode(StoreMode::Unavailable);
    }
    agent.signal(libc::SIGTERM);
    agent.wait_for_exit().await;
    let mut buffer = [0; 2_048];
    while let Ok(length) = balancer.socket.try_recv(&mut buffer) {
        let body = FlowDatagram::decode(&buffer[..length]).unwrap().body;
        assert!(matches!(body, Some(FlowBody::Report(_))), "{body:?}");
    }
    assert_eq!(store.keys("agents/").len(), if lives { 2 } else { 0 });
}

/// Forwards connections to the store until it is dropped. Further ones are accepted by the system, and stay
/// without a response.
async fn relay(listener: &TcpListener, store: SocketAddrV4) {
    let mut connections = JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        connections.spawn(async move {
            let mut store = TcpStream::connect(store).await.unwrap();
            // Ends when either side closes the connection.
            let _ = copy_bidirectional(&mut stream, &mut store).await;
        });
    }
}

/// Guards against a registration that stays since its agent is cut off from the store, also if the agent is
/// killed before the deletion.
#[rstest]
#[case::agent_runs_on(false)]
#[case::agent_is_killed(true)]
#[tokio::test]
async fn balancer_deletes_for_an_agent_that_is_cut_off(#[case] is_killed: bool) {
    let store = start_store().await;
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let SocketAddr::V4(address) = listener.local_addr().unwrap() else {
        panic!("no IPv4 address");
    };
    let mut agent = start_agent_beside(address, free_port(), free_port(), RESET_LOST);
    let balancer = start_balancer(&store, RESET_LOST).await;
    let register = async {
        agent.wait_for_status(200).await;
        agent.send_heartbeat(1, 1, "draining").await;
        wait_for_keys(&store, 2, STATE_TIMEOUT).await;
        // The balancer reads the entry after a delay, probes the agent, and gets its report.
        sleep(Duration::from_millis(1_500)).await;
    };
    tokio::select! {
        () = register => {}
        () = relay(&listener, store.address()) => panic!("the relay has ended"),
    }
    agent.signal(libc::SIGTERM);
    if is_killed {
        store.set_mode(StoreMode::Unavailable);
        sleep(Duration::from_millis(1_200)).await;
        agent.signal(libc::SIGKILL);
        store.set_mode(StoreMode::Open);
    }
    wait_for_keys(&store, 0, Duration::from_millis(2_500)).await;
    agent.wait_for_exit().await;
    drop(balancer);
    assert_eq!(store.keys("agents/").len(), 0);
}
