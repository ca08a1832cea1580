//! Measures how many datagrams one thread of a balancer forwards, compared with a bare UDP relay.
//!
//! Run it with `cargo run --release -p carobdrum-balancer --example forwarding`. Balancer and relay
//! get the same datagrams in the same run, in alternate turns. The relay makes the same system
//! calls on the same kind of socket and does nothing else. The result is the CPU time of the
//! forwarding thread per datagram that arrives at the agent's socket.

use std::{
    io::IoSliceMut,
    net::{
        Ipv4Addr,
        SocketAddr,
        SocketAddrV4,
        UdpSocket, //
    },
    sync::{
        atomic::{
            AtomicBool,
            AtomicU64,
            Ordering, //
        },
        Arc,
    },
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_balancer::{
    forward_for_benchmark,
    ForwardPlan,
    PlanBuilder,
    PlanTarget, //
};
use carobdrum_core::{
    connection::{
        FlowId,
        FlowOwner, //
    },
    version::{
        CentreId,
        ConfigVersion,
        FleetKey,
        KeyRing,
        PoolTable,
        RouteTable, //
    },
};
use quinn_udp::{
    RecvMeta,
    Transmit,
    UdpSocketState, //
};

/// Length of a caller's datagram in bytes.
const PACKET_LEN: usize = 1_200;
/// Datagrams of one flow that a caller sends at once: single ones, as a fabric with per-packet load
/// balancing delivers them, and long bursts, which the kernel delivers as one message.
const BURSTS: [usize; 2] = [1, 32];
/// Number of flows; each has its own socket.
const FLOWS: usize = 16;
/// Duration of one turn.
const TURN_DURATION: Duration = Duration::from_secs(1);
/// Number of turns of each side.
const TURN_COUNT: usize = 3;
/// Messages read by one system call, as in the balancer.
const MESSAGES: usize = 8;
/// Buffer for one message, in bytes.
const MESSAGE_LEN: usize = 65_536;

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 90, 0, 1), 9443);
const RELAY: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 90, 0, 2), 9443);
const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 90, 0, 3), 7400);

/// Result of one turn.
#[derive(Clone, Copy)]
struct TurnResult {
    datagrams: u64,
    cpu: Duration,
}

impl TurnResult {
    fn cost_ns(&self) -> f64 {
        self.cpu.as_nanos() as f64 / self.datagrams.max(1) as f64
    }
}

fn main() {
    let keys = KeyRing::new(1, 0, [FleetKey::new(0, [9; 32])]);
    print_route_costs(&keys);
    for burst in BURSTS {
        compare(&keys, burst);
    }
}

/// Measures relay and balancer alternately with the same datagrams.
fn compare(keys: &KeyRing, burst: usize) {
    println!("\nbursts of {burst}:\n");
    println!("| turn | relay, ns a datagram | balancer, ns a datagram | balancer / relay rate |");
    println!("|---|---|---|---|");
    let mut ratios = Vec::new();
    for turn in 1..=TURN_COUNT {
        let relay = run_turn(keys, RELAY, burst, |stop| {
            spawn_named("relay", move || run_relay(&stop))
        });
        let plan = plan_of(keys, 100);
        let balancer = run_turn(keys, SERVICE, burst, |stop| {
            spawn_named("balancer", move || {
                let start = thread_time();
                forward_for_benchmark(plan, *AGENT.ip(), &stop)
                    .expect("the balancer should open its sockets");
                thread_time() - start
            })
        });
        let ratio = relay.cost_ns() / balancer.cost_ns();
        println!(
            "| {turn} | {:.0} ({} datagrams) | {:.0} ({} datagrams) | {ratio:.2} |",
            relay.cost_ns(),
            relay.datagrams,
            balancer.cost_ns(),
            balancer.datagrams
        );
        ratios.push(ratio);
    }
    ratios.sort_by(f64::total_cmp);
    println!("\nmedian ratio: {:.2}", ratios[ratios.len() / 2]);
}

/// Prints the cost of routing one packet of an established flow, for several numbers of targets.
fn print_route_costs(keys: &KeyRing) {
    const ROUNDS: u32 = 2_000_000;
    println!("| targets | established, ns a packet | first packet, ns a packet |");
    println!("|---|---|---|");
    for targets in [10, 100, 1_000, 5_700] {
        let plan = plan_of(keys, targets);
        let service = plan
            .service_at(SERVICE)
            .expect("the plan should have the service address");
        let packet = packet_of(keys, 1);
        let start = Instant::now();
        for _ in 0..ROUNDS {
            std::hint::black_box(plan.route(service, std::hint::black_box(&packet)));
        }
        let established = start.elapsed() / ROUNDS;
        let mut first = vec![0; PACKET_LEN];
        first[..6].copy_from_slice(&[0xc0, 0, 0, 0, 1, 8]);
        let rounds = ROUNDS / 2_000;
        let start = Instant::now();
        for round in 0..rounds {
            first[6..10].copy_from_slice(&round.to_be_bytes());
            std::hint::black_box(plan.route(service, std::hint::black_box(&first)));
        }
        let placed = start.elapsed() / rounds;
        println!(
            "| {targets} | {} | {} |",
            established.as_nanos(),
            placed.as_nanos()
        );
    }
}

fn plan_of(keys: &KeyRing, targets: usize) -> ForwardPlan {
    let routes: RouteTable = toml_routes();
    let pools: PoolTable = PoolTable {
        pools: vec![carobdrum_core::version::PoolEntry {
            service: "bench".into(),
            servers: vec!["bench-*".into()],
            slots: 2,
            connections: 2_000,
            state: Default::default(),
        }],
        data_centres: Vec::new(),
    };
    let config = ConfigVersion::default()
        .successor(routes, pools)
        .expect("the tables should be valid");
    let service = config
        .service_id("bench")
        .expect("the configuration should have the service");
    let mut builder = PlanBuilder::default()
        .keys(Some(Arc::new(keys.clone())))
        .config(&config);
    for index in 0..targets as u32 {
        let agent = SocketAddrV4::new(Ipv4Addr::from(0x7f5b_0000 + index), 7400);
        builder = builder.target(PlanTarget {
            service,
            agent,
            weight: 2.0,
        });
    }
    builder.build()
}

fn toml_routes() -> RouteTable {
    RouteTable {
        routes: vec![carobdrum_core::version::RouteEntry {
            name: "bench".into(),
            service: "bench".into(),
            address: SERVICE,
            path_prefix: "/".into(),
            methods: Vec::new(),
            priority: Default::default(),
            timeout_ms: 1_000,
        }],
    }
}

/// Returns a packet of an established flow that the agent owns.
fn packet_of(keys: &KeyRing, sequence: u16) -> Vec<u8> {
    let owner = FlowOwner {
        agent: AGENT,
        service: carobdrum_core::version::ServiceId(1),
        centre: CentreId(1),
        incarnation: 1,
    };
    let FlowId(id) = keys
        .issuing_codec()
        .expect("the ring should have an issuing key")
        .seal(&owner, sequence, 0);
    let mut packet = vec![0x40; PACKET_LEN];
    packet[1..=id.len()].copy_from_slice(&id);
    packet
}

/// Starts a named thread, so that a profiler can tell the threads apart.
fn spawn_named(
    name: &str,
    work: impl FnOnce() -> Duration + Send + 'static,
) -> std::thread::JoinHandle<Duration> {
    let builder = std::thread::Builder::new().name(name.to_owned());
    builder.spawn(work).expect("the thread should start")
}

/// Lets callers send for one turn and counts the datagrams that arrive at the agent.
fn run_turn(
    keys: &KeyRing,
    target: SocketAddrV4,
    burst: usize,
    start: impl FnOnce(Arc<AtomicBool>) -> std::thread::JoinHandle<Duration>,
) -> TurnResult {
    let stop = Arc::new(AtomicBool::new(false));
    let arrived = Arc::new(AtomicU64::new(0));
    let sink = {
        let (stop, arrived) = (Arc::clone(&stop), Arc::clone(&arrived));
        std::thread::spawn(move || count_arrivals(&stop, &arrived))
    };
    let forwarder = start(Arc::clone(&stop));
    std::thread::sleep(Duration::from_millis(200));
    send_packets(keys, target, burst);
    stop.store(true, Ordering::Relaxed);
    let cpu = forwarder
        .join()
        .expect("the forwarding thread should not panic");
    sink.join().expect("the counting thread should not panic");
    TurnResult {
        datagrams: arrived.load(Ordering::Relaxed),
        cpu,
    }
}

/// Sends bursts of each flow in turn, at a higher rate than one thread can forward.
fn send_packets(keys: &KeyRing, target: SocketAddrV4, burst: usize) {
    let flows: Vec<(UdpSocket, UdpSocketState, Vec<u8>)> = (0..FLOWS)
        .map(|flow| {
            let socket =
                UdpSocket::bind((Ipv4Addr::new(127, 90, 1, 1), 0)).expect("the socket should open");
            let state = UdpSocketState::new((&socket).into()).expect("the socket should open");
            (socket, state, packet_of(keys, flow as u16).repeat(burst))
        })
        .collect();
    let end = Instant::now() + TURN_DURATION;
    while Instant::now() < end {
        for (socket, state, burst_bytes) in &flows {
            let transmit = Transmit {
                destination: target.into(),
                ecn: None,
                contents: burst_bytes,
                segment_size: (burst > 1).then_some(PACKET_LEN),
                src_ip: None,
            };
            // Datagrams that don't fit the send buffer are lost, as on a network.
            let _ = state.try_send(socket.into(), &transmit);
        }
    }
}

fn count_arrivals(stop: &AtomicBool, arrived: &AtomicU64) {
    let socket = bind(AGENT);
    let state = UdpSocketState::new((&socket).into()).expect("the socket should open");
    let mut memory = vec![0; MESSAGE_LEN * MESSAGES];
    while !stop.load(Ordering::Relaxed) {
        for meta in read(&socket, &state, &mut memory) {
            let stride = meta.stride.max(1);
            arrived.fetch_add(meta.len.div_ceil(stride) as u64, Ordering::Relaxed);
        }
    }
}

/// The bare relay: reads as the balancer does and forwards the datagrams, with single ones grouped
/// into one call as in the balancer.
fn run_relay(stop: &AtomicBool) -> Duration {
    let start = thread_time();
    let socket = bind(RELAY);
    let out = bind(SocketAddrV4::new(*RELAY.ip(), 0));
    let state = UdpSocketState::new((&socket).into()).expect("the socket should open");
    let out_state = UdpSocketState::new((&out).into()).expect("the socket should open");
    let mut memory = vec![0; MESSAGE_LEN * MESSAGES];
    let mut burst_bytes = Vec::new();
    let send = |contents: &[u8]| {
        let transmit = Transmit {
            destination: AGENT.into(),
            ecn: None,
            contents,
            segment_size: (contents.len() > PACKET_LEN).then_some(PACKET_LEN),
            src_ip: None,
        };
        let _ = out_state.try_send((&out).into(), &transmit);
    };
    while !stop.load(Ordering::Relaxed) {
        let metas = read(&socket, &state, &mut memory);
        for (meta, bytes) in metas.iter().zip(memory.chunks(MESSAGE_LEN)) {
            if meta.len > PACKET_LEN {
                send(&bytes[..meta.len]);
            } else {
                burst_bytes.extend_from_slice(&bytes[..meta.len]);
            }
        }
        if !burst_bytes.is_empty() {
            send(&burst_bytes);
            burst_bytes.clear();
        }
    }
    thread_time() - start
}

fn read(socket: &UdpSocket, state: &UdpSocketState, memory: &mut [u8]) -> Vec<RecvMeta> {
    let mut metas = [RecvMeta::default(); MESSAGES];
    let mut chunks = memory.chunks_mut(MESSAGE_LEN);
    let mut slices: [IoSliceMut<'_>; MESSAGES] =
        std::array::from_fn(|_| IoSliceMut::new(chunks.next().unwrap_or_default()));
    let count = state
        .recv(socket.into(), &mut slices, &mut metas)
        .unwrap_or(0);
    metas[..count].to_vec()
}

/// Opens a socket as the balancer does, except that reads block for at most 50 ms.
fn bind(address: SocketAddrV4) -> UdpSocket {
    let socket = socket2::Socket::new(
        socket2::Domain::IPV4,
        socket2::Type::DGRAM,
        Some(socket2::Protocol::UDP),
    )
    .expect("the socket should open");
    let _ = socket.set_recv_buffer_size(4 << 20);
    let _ = socket.set_send_buffer_size(4 << 20);
    socket
        .bind(&SocketAddr::from(address).into())
        .expect("the address should be free");
    let socket: UdpSocket = socket.into();
    socket
        .set_read_timeout(Some(Duration::from_millis(50)))
        .expect("the read timeout should be valid");
    socket
}

/// Returns the CPU time used by the calling thread, from the kernel's accounting.
fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")
        .expect("the kernel should provide schedstat");
    let spent = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(spent.expect("schedstat should start with the CPU time in nanoseconds"))
}
