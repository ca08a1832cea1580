//! The relay between a caller and two balancers that echo datagrams.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        Mutex, //
    },
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_standins::{
    FabricRelay,
    RelaySettings, //
};
use tokio::{
    net::UdpSocket,
    time::timeout, //
};

const SERVICE_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 9, 1);
const BALANCERS: [Ipv4Addr; 2] = [Ipv4Addr::new(127, 0, 9, 2), Ipv4Addr::new(127, 0, 9, 3)];

/// Time after which a datagram counts as lost; far above the round-trip time on loopback.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Relay with one service whose balancers echo each datagram, with the last octet of their address
/// appended.
struct EchoSetup {
    relay: FabricRelay,
    service: SocketAddrV4,
    caller: UdpSocket,
}

async fn start(change: impl Fn(RelaySettings) -> RelaySettings) -> EchoSetup {
    let settings = RelaySettings::new([SocketAddrV4::new(SERVICE_IP, 0)], BALANCERS);
    let relay = FabricRelay::start(change(settings.seed(11))).unwrap();
    let service = relay.services()[0];
    for balancer in BALANCERS {
        let socket = UdpSocket::bind((balancer, service.port())).await.unwrap();
        tokio::spawn(echo(socket, balancer.octets()[3]));
    }
    EchoSetup {
        relay,
        service,
        caller: UdpSocket::bind("127.0.0.1:0").await.unwrap(),
    }
}

async fn echo(socket: UdpSocket, name: u8) {
    let mut buffer = [0; 2048];
    while let Ok((len, source)) = socket.recv_from(&mut buffer).await {
        buffer[len] = name;
        let _ = socket.send_to(&buffer[..len + 1], source).await;
    }
}

impl EchoSetup {
    async fn send(&self, caller: &UdpSocket, number: u8) {
        caller.send_to(&[number], self.service).await.unwrap();
    }

    /// Returns the echoed number and the last octet of the balancer that echoed it.
    async fn receive(&self, caller: &UdpSocket) -> Option<(u8, u8)> {
        let mut buffer = [0; 2048];
        let received = timeout(RECEIVE_TIMEOUT, caller.recv_from(&mut buffer)).await;
        let (len, source) = received.ok()?.unwrap();
        assert_eq!(
            source,
            SocketAddr::V4(self.service),
            "datagram not sent from the service address"
        );
        assert_eq!(len, 2);
        Some((buffer[0], buffer[1]))
    }

    async fn exchange(&self, number: u8) -> Option<(u8, u8)> {
        self.send(&self.caller, number).await;
        self.receive(&self.caller).await
    }

    /// Sends `count` datagrams and returns the echoed numbers in the order of their arrival.
    async fn burst(&self, count: u8) -> Vec<u8> {
        for number in 0..count {
            self.send(&self.caller, number).await;
        }
        let mut received = Vec::new();
        while let Some((number, _)) = self.receive(&self.caller).await {
            received.push(number);
        }
        received
    }
}

fn caller_address(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr().unwrap() {
        SocketAddr::V4(address) => address,
        SocketAddr::V6(address) => panic!("{address}"),
    }
}

/// Guards against an observer that misses datagrams or gets the address of the relay.
#[tokio::test]
async fn observer_gets_the_datagrams_of_callers() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let recorder = seen.clone();
    let setup = start(move |settings| {
        let recorder = recorder.clone();
        settings.observer(move |caller, datagram| {
            let mut seen = recorder.lock().unwrap();
            seen.push((caller.port(), datagram.to_vec()));
        })
    })
    .await;
    setup.exchange(7).await.unwrap();
    setup.relay.set_loss(1.0);
    assert_eq!(setup.exchange(8).await, None);
    let port = caller_address(&setup.caller).port();
    let seen = seen.lock().unwrap();
    assert_eq!(*seen, [(port, vec![7]), (port, vec![8])]);
}

/// Guards against a relay that keeps a flow on one balancer, which would hide faults of balancers,
/// and against responses that reach another caller.
#[tokio::test]
async fn datagrams_of_one_caller_reach_all_balancers() {
    let setup = start(|settings| settings).await;
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut seen = Vec::new();
    for number in 0..40 {
        setup.send(&other, 100 + number).await;
        let (echoed, balancer) = setup.exchange(number).await.unwrap();
        assert_eq!(echoed, number);
        seen.push(balancer);
        let (echoed, _) = setup.receive(&other).await.unwrap();
        assert_eq!(echoed, 100 + number);
    }
    let first = seen.iter().filter(|balancer| **balancer == 2).count();
    assert!(
        (8..=32).contains(&first),
        "{first} of 40 datagrams at one of two balancers"
    );
    setup.relay.set_balancers([BALANCERS[1]]);
    for number in 0..10 {
        assert_eq!(setup.exchange(number).await, Some((number, 3)));
    }
    assert_eq!(setup.relay.counts().callers, 2);
}

/// Guards against an isolated balancer that still gets datagrams, or stays isolated for good.
#[tokio::test]
async fn datagrams_of_isolated_balancer_are_lost() {
    let setup = start(|settings| settings).await;
    setup.relay.isolate_balancer(BALANCERS[0]);
    let received = setup.burst(40).await;
    assert!((8..=32).contains(&received.len()), "{received:?}");
    assert_eq!(setup.relay.counts().lost, 40 - received.len() as u64);
    setup.relay.reconnect_balancer(BALANCERS[0]);
    assert_eq!(setup.burst(40).await.len(), 40);
}

/// Guards against an isolated balancer whose responses to earlier datagrams still reach callers.
#[tokio::test]
async fn isolation_also_loses_responses() {
    let setup = start(|settings| settings).await;
    let delay = Duration::from_millis(400);
    setup.relay.set_delay(delay, Duration::ZERO);
    setup.send(&setup.caller, 1).await;
    tokio::time::sleep(delay / 4).await;
    setup.relay.isolate_balancer(BALANCERS[0]);
    setup.relay.isolate_balancer(BALANCERS[1]);
    tokio::time::sleep(delay).await;
    assert_eq!(setup.receive(&setup.caller).await, None);
    let counts = setup.relay.counts();
    assert_eq!((counts.forwarded, counts.returned, counts.lost), (1, 0, 1));
}

/// Guards against a constant delay that reorders datagrams or is shorter than set. A wrong order
/// shows only with several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn constant_delay_keeps_the_order() {
    let setup = start(|settings| settings).await;
    let delay = Duration::from_millis(20);
    setup.relay.set_delay(delay, Duration::ZERO);
    let started = Instant::now();
    assert!(setup.exchange(0).await.is_some());
    assert!(started.elapsed() >= 2 * delay, "{:?}", started.elapsed());
    // With two balancers, their echoes could be reordered.
    setup.relay.set_balancers([BALANCERS[0]]);
    assert_eq!(setup.burst(50).await, (0..50).collect::<Vec<u8>>());
}

/// Guards against a blackhole that also affects flows of other callers to the service.
#[tokio::test]
async fn blackhole_affects_one_five_tuple() {
    let setup = start(|settings| settings).await;
    let address = caller_address(&setup.caller);
    setup.relay.blackhole_flow(address, setup.service);
    assert_eq!(setup.exchange(1).await, None);
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    setup.send(&other, 2).await;
    assert_eq!(
        setup.receive(&other).await.map(|(number, _)| number),
        Some(2)
    );
    setup.relay.clear_blackholes();
    assert_eq!(setup.exchange(3).await.map(|(number, _)| number), Some(3));
}

/// Guards against faults without effect, or with an effect after they are switched off.
#[tokio::test]
async fn loss_duplicates_and_jitter_start_and_end() {
    let setup = start(|settings| settings).await;
    setup.relay.set_balancers([BALANCERS[0]]);
    setup.relay.set_loss(0.3);
    let echoed = setup.burst(100).await.len();
    // Both directions lose 30%, so 49 are expected.
    assert!(
        (25..=75).contains(&echoed),
        "{echoed} of 100 datagrams echoed"
    );
    setup.relay.set_loss(0.0);
    setup.relay.set_duplicates(1.0);
    assert_eq!(setup.burst(20).await.len(), 80);
    setup.relay.set_duplicates(0.0);
    setup
        .relay
        .set_delay(Duration::from_millis(1), Duration::from_millis(50));
    let mixed = setup.burst(50).await;
    assert_eq!(mixed.len(), 50);
    assert!(!mixed.is_sorted(), "no datagram was reordered");
    setup.relay.set_delay(Duration::ZERO, Duration::ZERO);
    assert_eq!(setup.burst(20).await.len(), 20);
}

/// Guards against a relay that loses datagrams of a short burst, which would count as broken flows.
#[tokio::test]
async fn burst_of_full_datagrams_is_forwarded() {
    let setup = start(|settings| settings).await;
    let caller = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    // Blocking sends leave the relay no time to run in between.
    for _ in 0..150 {
        caller.send_to(&[7; 1_200], setup.service).unwrap();
    }
    tokio::time::sleep(RECEIVE_TIMEOUT).await;
    assert_eq!(setup.relay.counts().forwarded, 150);
}

/// Guards against an unlimited number of sockets, and against idle ones that are never closed.
#[tokio::test]
async fn callers_are_limited_and_expire() {
    let idle = Duration::from_millis(400);
    let setup = start(|settings| settings.max_callers(1).idle_timeout(idle)).await;
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    assert!(setup.exchange(1).await.is_some());
    setup.send(&other, 2).await;
    assert_eq!(setup.receive(&other).await, None);
    assert_eq!(setup.relay.counts().dropped, 1);
    tokio::time::sleep(2 * idle).await;
    assert_eq!(setup.relay.counts().callers, 0);
    setup.send(&other, 3).await;
    assert!(setup.receive(&other).await.is_some());
}

/// Guards against a removed service address that still responds, or an added one that doesn't.
#[tokio::test]
async fn services_change_at_runtime() {
    let setup = start(|settings| settings).await;
    assert!(setup.exchange(1).await.is_some());
    let added = SocketAddrV4::new(Ipv4Addr::new(127, 0, 9, 4), setup.service.port());
    setup.relay.set_services([added]).unwrap();
    assert_eq!(setup.relay.services(), [added]);
    assert_eq!(setup.exchange(2).await, None);
    let setup = EchoSetup {
        service: added,
        ..setup
    };
    assert!(setup.exchange(3).await.is_some());
}
