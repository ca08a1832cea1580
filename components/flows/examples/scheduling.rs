//! Measures what the scheduling of requests costs an agent's traffic thread.
//!
//! Run it with `cargo run --release -p carobdrum-flows --example scheduling`. Each line shows the mean
//! time and the number of allocations of one call, the former as the lowest of several turns.

mod support;

use std::{
    collections::VecDeque,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::Arc,
    time::{
        Duration,
        Instant, //
    },
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        name_hash,
        BackendHeartbeat,
        BackendState, //
    },
    request::ForwardHeader,
    version::SiteConfig,
    FlowPacket,
    FlowTracker,
    PacketKind, //
    TrackerAction,
    TrackerSettings,
};
use support::{
    allocations,
    SERVICE, //
};

const SLOTS: u32 = 4;
/// Number of requests that fill the queue with one packet each.
const FULL_QUEUE: u16 = 512;
/// Routes of the configuration; the last two lead to the server's service.
const ROUTES: u8 = 200;
const CALLS: u32 = 50_000;
const TURNS: usize = 5;
const LEN: u16 = 1_000;
const START: Millis = Millis(1_000);
/// Time at which held requests have waited for more than half of their objective.
const OVERDUE: Millis = Millis(1_200);
const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8_000);

/// Time and allocations of the calls of one kind.
#[derive(Clone, Copy, Default)]
struct CallCost {
    time: Duration,
    allocations: u64,
}

impl CallCost {
    fn measure(&mut self, call: impl FnOnce()) {
        let before = allocations();
        let start = Instant::now();
        call();
        self.time += start.elapsed();
        self.allocations += allocations() - before;
    }
}

/// An agent whose flows have been opened on the route of the less urgent class.
struct BenchAgent {
    tracker: FlowTracker,
    bytes: Bytes,
    actions: Vec<TrackerAction>,
    /// Flows with a request in progress.
    working: VecDeque<u16>,
    /// Flows without a request.
    idle: VecDeque<u16>,
    sequence: u32,
    now: Millis,
}

impl BenchAgent {
    fn new(schedule_requests: bool, flows: u16) -> BenchAgent {
        let settings = TrackerSettings {
            address: AGENT,
            server: SocketAddrV4::new(*AGENT.ip(), 9_000),
            centre: "north".into(),
            service: SERVICE.into(),
            activity_timeout: Millis(1_900),
            cold_factor: 1.5,
            cold_slack: 5.0,
            flow_lifetime: Millis(60_000),
            reset_lost: false,
            schedule_requests,
        };
        let mut tracker = FlowTracker::new(settings, 1_000_000, Millis(0));
        tracker.set_config(Arc::new(config()), Millis(0));
        tracker.handle_heartbeat(heartbeat(), Millis(0));
        let mut agent = BenchAgent {
            tracker,
            bytes: Bytes::from(vec![0; usize::from(LEN)]),
            actions: Vec::new(),
            working: VecDeque::new(),
            idle: (0..flows).collect(),
            sequence: 0,
            now: Millis(0),
        };
        for flow in 0..flows {
            agent.forward(flow, PacketKind::Open { retransmission: 0 }, 0);
            agent.reply(flow, PacketKind::Accept, 0);
            agent.forward(flow, PacketKind::Data, 0);
            agent.reply(flow, PacketKind::Data, LEN);
        }
        agent.actions.clear();
        agent.now = START;
        agent
    }

    fn forward(&mut self, flow: u16, kind: PacketKind, data_len: u16) {
        self.sequence += u32::from(data_len);
        let packet = flow_packet(flow, kind, self.sequence, data_len);
        let bytes = &self.bytes;
        self.tracker
            .handle_forwarded(&packet, bytes, header(), self.now, &mut self.actions);
    }

    fn reply(&mut self, flow: u16, kind: PacketKind, data_len: u16) {
        let packet = flow_packet(flow, kind, 0, data_len);
        self.tracker
            .handle_backend(&packet, self.now, &mut self.actions);
    }

    /// Sends a request on an idle flow.
    fn begin(&mut self, cost: &mut CallCost) {
        let flow = self.idle.pop_front().expect("a flow is idle");
        cost.measure(|| self.forward(flow, PacketKind::Data, LEN));
        self.take_actions(flow);
    }

    /// Sends the response to the oldest request in progress.
    fn end(&mut self, cost: &mut CallCost) {
        let flow = self.working.pop_front().expect("a request is in progress");
        cost.measure(|| self.reply(flow, PacketKind::Data, LEN));
        self.take_actions(flow);
        self.idle.push_back(flow);
    }

    fn take_actions(&mut self, flow: u16) {
        for action in self.actions.drain(..) {
            match action {
                TrackerAction::Deliver => self.working.push_back(flow),
                TrackerAction::DeliverHeld { key, .. } => {
                    self.working.push_back(key.caller.port());
                }
                _ => {}
            }
        }
    }
}

fn config() -> SiteConfig {
    support::config((0..ROUTES).map(|number| {
        let service = if number < ROUTES - 2 {
            "other"
        } else {
            SERVICE
        };
        (number, service, number % 2 + 1)
    }))
}

fn heartbeat() -> BackendHeartbeat {
    BackendHeartbeat {
        id: "i-1".into(),
        address: AGENT,
        started_ms: 1,
        sequence: 1,
        service: SERVICE.into(),
        state: BackendState::Ready,
        slots: SLOTS,
        cold_remaining: Millis(0),
    }
}

fn header() -> ForwardHeader {
    ForwardHeader {
        balancer: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 9), 7_000),
        centre_hash: name_hash("north"),
        service_hash: name_hash(SERVICE),
        revision: 0,
        hops: 0,
        rest: Vec::new(),
        near: 0,
        best: None,
        assigned: false,
        delivered: false,
        anchors: Vec::new(),
        is_firm: true,
        silent: 0,
    }
}

fn flow_packet(flow: u16, kind: PacketKind, sequence: u32, data_len: u16) -> FlowPacket {
    let caller = SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), flow);
    FlowPacket {
        sequence,
        data_len,
        ..support::flow_packet(caller, ROUTES - 1, kind)
    }
}

/// Returns the costs of the packet of a request, and of a response, with this many requests held.
fn measure_cycle(schedule_requests: bool, held: u16, now: Millis, calls: u32) -> [CallCost; 2] {
    let mut agent = BenchAgent::new(schedule_requests, held + 64);
    let mut unmeasured = CallCost::default();
    for _ in 0..held + SLOTS as u16 {
        agent.begin(&mut unmeasured);
    }
    agent.now = now;
    agent.tracker.send_held(now, &mut agent.actions);
    agent.take_actions(0);
    let mut costs = [CallCost::default(); 2];
    for call in 0..calls + 1_000 {
        // The first calls grow the tables to their size in the steady state.
        if call == 1_000 {
            costs = [CallCost::default(); 2];
        }
        agent.end(&mut costs[1]);
        agent.begin(&mut costs[0]);
    }
    assert_eq!(agent.tracker.report(now).queued > 0, held > 0);
    costs
}

/// Returns the cost of the first packet of a request that arrives at a full queue, which sends the
/// oldest one.
fn measure_overflow(calls: u32) -> CallCost {
    let mut agent = BenchAgent::new(true, FULL_QUEUE + 64);
    let mut unmeasured = CallCost::default();
    for _ in 0..FULL_QUEUE + SLOTS as u16 {
        agent.begin(&mut unmeasured);
    }
    let mut cost = CallCost::default();
    for call in 0..calls + 1_000 {
        if call == 1_000 {
            cost = CallCost::default();
        }
        agent.begin(&mut cost);
        // More requests than slots stay in progress, so a response sends no held request.
        if agent.working.len() > 2 * SLOTS as usize {
            agent.end(&mut unmeasured);
        }
    }
    assert_eq!(agent.tracker.report(START).queued, u32::from(FULL_QUEUE));
    cost
}

/// Returns the cost of finding the time of the next decision, as the traffic thread does in each turn
/// of its loop.
fn measure_deadline(held: u16, calls: u32) -> CallCost {
    let mut agent = BenchAgent::new(true, held + 64);
    let mut unmeasured = CallCost::default();
    for _ in 0..held + SLOTS as u16 {
        agent.begin(&mut unmeasured);
    }
    let mut cost = CallCost::default();
    for _ in 0..calls {
        cost.measure(|| {
            std::hint::black_box(agent.tracker.next_held_deadline(START));
        });
    }
    cost
}

fn show(label: &str, measure: impl Fn() -> CallCost) {
    let turns: Vec<CallCost> = (0..TURNS).map(|_| measure()).collect();
    let lowest = turns.iter().map(|cost| cost.time).min();
    let nanos = lowest.unwrap_or_default().as_nanos() / u128::from(CALLS);
    let allocations: u64 = turns.iter().map(|cost| cost.allocations).sum();
    let each = allocations as f64 / (f64::from(CALLS) * TURNS as f64);
    println!("{label:<58} {nanos:>6} ns {each:>6.3} allocations");
}

fn main() {
    println!("Each time includes two readings of the clock.");
    show("nothing", || {
        let mut cost = CallCost::default();
        (0..CALLS).for_each(|_| cost.measure(|| {}));
        cost
    });
    for (label, on) in [("off", false), ("on", true)] {
        let cycle = || measure_cycle(on, 0, START, CALLS);
        show(&format!("{label}: packet of a request, slot free"), || {
            cycle()[0]
        });
        show(&format!("{label}: response, no request waits"), || {
            cycle()[1]
        });
    }
    let full = |now| measure_cycle(true, FULL_QUEUE, now, CALLS);
    show("on: packet of a request, 512 wait", || full(START)[0]);
    show("on: response and choice of the next, 512 wait", || {
        full(START)[1]
    });
    show("on: packet of a request, 508 wait for long", || {
        full(OVERDUE)[0]
    });
    show(
        "on: response and choice of the next, 508 wait for long",
        || full(OVERDUE)[1],
    );
    show("on: time of the next decision, none waits", || {
        measure_deadline(0, CALLS)
    });
    show("on: time of the next decision, 512 wait", || {
        measure_deadline(FULL_QUEUE, CALLS)
    });
    show("on: packet of a request that doesn't fit", || {
        measure_overflow(CALLS)
    });
}
