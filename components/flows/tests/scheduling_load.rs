//! Overload of a server by long flows of a less urgent class, with and without scheduling.

mod support;

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::BackendState,
    FlowKey,
    FlowPacket,
    FlowTracker,
    PacketKind,
    TrackerAction, //
};
use rstest::rstest;
use support::{
    backend,
    header,
    heartbeat,
    key,
    packet,
    scheduling_tracker,
    ROUTE,
    SLOW_ROUTE, //
};

const SLOTS: usize = 4;
/// Requests that the server queues; it answers further ones with an error at once.
const SERVER_QUEUE: usize = 16;
const OBJECTIVE_MS: u64 = 300;
/// Time before the overload, in which the agent learns how long the server works on a request.
const CALM_MS: u64 = 5_000;
/// Upper bound of the time until a response: a request is held for at most four objectives, and may then
/// be the last one of the server's queue.
const LONGEST_MS: u64 = 4 * OBJECTIVE_MS + 250;
const LENGTH_MS: u64 = 35_000;
/// Requests per second on new flows and on long flows before the overload.
const CALM_RATES: [u64; 2] = [10, 30];
/// The same during the overload: 0.33 and 2.4 times the server's capacity.
const RATES: [u64; 2] = [25, 240];
/// First port of the flows that are open before the load; others count from 0.
const FIRST_IDLE_PORT: u16 = 30_000;
/// Processing times of the two classes.
const WORK_MS: [u64; 2] = [52, 40];

/// Requests of one class by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct ClassTally {
    offered: u32,
    /// Opening packets that were refused.
    refused: u32,
    in_time: u32,
    late: u32,
    /// Errors of the server, whose queue was full.
    failed: u32,
    /// Time from the request to the latest response.
    longest_ms: u64,
}

impl ClassTally {
    fn served(&self) -> u32 {
        self.in_time + self.late
    }
}

/// A caller's flow, whose request began at `started`.
#[derive(Debug)]
struct LoadFlow {
    class: usize,
    started: Option<u64>,
    sequence: u32,
}

impl LoadFlow {
    fn new(class: usize) -> LoadFlow {
        LoadFlow {
            class,
            started: None,
            sequence: 0,
        }
    }
}

fn flow_key(class: usize, port: u16) -> FlowKey {
    FlowKey {
        service_address: [ROUTE, SLOW_ROUTE][class],
        ..key(port)
    }
}

/// Callers, one agent and its server.
struct LoadRun {
    tracker: FlowTracker,
    flows: BTreeMap<FlowKey, LoadFlow>,
    working: Vec<(u64, FlowKey)>,
    queued: VecDeque<FlowKey>,
    /// Flows that have just been accepted.
    accepted: Vec<FlowKey>,
    next_port: u16,
    tallies: [ClassTally; 2],
    calm_ms: u64,
    heartbeats: u64,
    now: u64,
}

impl LoadRun {
    fn run(schedule_requests: bool, is_calm_first: bool, open_flows: u16) -> [ClassTally; 2] {
        let mut run = LoadRun {
            tracker: scheduling_tracker(SLOTS as u32, schedule_requests),
            flows: BTreeMap::new(),
            working: Vec::new(),
            queued: VecDeque::new(),
            accepted: Vec::new(),
            next_port: 0,
            tallies: [ClassTally::default(); 2],
            calm_ms: if is_calm_first { CALM_MS } else { 0 },
            heartbeats: 0,
            now: 0,
        };
        for number in 0..open_flows {
            run.open_idle(FIRST_IDLE_PORT + number);
        }
        run.tallies = [ClassTally::default(); 2];
        let start = run.now;
        run.calm_ms += start;
        // Requests that are waiting at the end are answered in the time after it.
        for now in start + 1..start + LENGTH_MS + 2_000 {
            run.now = now;
            run.step();
        }
        run.tallies
    }

    /// Opens a long flow that has no request.
    fn open_idle(&mut self, port: u16) {
        let key = flow_key(1, port);
        self.flows.insert(key, LoadFlow::new(1));
        self.begin(key);
        self.send(key, PacketKind::Open { retransmission: 0 }, 0);
        self.accepted.clear();
        self.send_request(key);
        while self.flows[&key].started.is_some() {
            self.now += 1;
            self.finish_work();
        }
        self.beat();
    }

    fn beat(&mut self) {
        self.heartbeats += 1;
        let mut heartbeat = heartbeat(1 + self.heartbeats, BackendState::Ready);
        heartbeat.slots = SLOTS as u32;
        self.tracker.handle_heartbeat(heartbeat, Millis(self.now));
    }

    fn step(&mut self) {
        let now = Millis(self.now);
        if self.now % 1_000 == 0 {
            self.beat();
        }
        let mut actions = Vec::new();
        self.tracker.check_openings(now, &mut actions);
        self.tracker.send_held(now, &mut actions);
        if self.now % 100 == 0 {
            self.tracker.expire(now);
        }
        self.act(actions, None);
        self.finish_work();
        for key in std::mem::take(&mut self.accepted) {
            self.send_request(key);
        }
        for class in 0..2 {
            let is_calm = self.now < self.calm_ms;
            let rate = if is_calm { CALM_RATES } else { RATES }[class];
            let due = |at: u64| at * rate / 1_000;
            if self.now <= LENGTH_MS && due(self.now) > due(self.now - 1) {
                self.start_request(class);
            }
        }
    }

    /// Sends a request on an idle long flow, or opens a flow for it.
    fn start_request(&mut self, class: usize) {
        self.tallies[class].offered += 1;
        let is_idle = |flow: &LoadFlow| flow.class == class && flow.started.is_none();
        let idle = self.flows.iter().find(|(_, flow)| is_idle(flow));
        if let Some((key, _)) = idle {
            let key = *key;
            self.begin(key);
            self.send_request(key);
            return;
        }
        self.next_port += 1;
        let key = flow_key(class, self.next_port);
        self.flows.insert(key, LoadFlow::new(class));
        self.begin(key);
        self.send(key, PacketKind::Open { retransmission: 0 }, 0);
    }

    fn begin(&mut self, key: FlowKey) {
        let now = self.now;
        self.flows
            .entry(key)
            .and_modify(|flow| flow.started = Some(now));
    }

    fn send_request(&mut self, key: FlowKey) {
        self.send(key, PacketKind::Data, 100);
    }

    fn send(&mut self, key: FlowKey, kind: PacketKind, data_len: u16) {
        let sequence = self.flows.get_mut(&key).map_or(0, |flow| {
            flow.sequence += u32::from(data_len);
            flow.sequence - u32::from(data_len)
        });
        let packet = FlowPacket {
            key,
            sequence,
            data_len,
            ..packet(0, kind)
        };
        let mut actions = Vec::new();
        let bytes = Bytes::from_static(b"packet");
        let now = Millis(self.now);
        self.tracker
            .handle_forwarded(&packet, &bytes, header(&[]), now, &mut actions);
        self.act(actions, Some(packet));
    }

    fn act(&mut self, actions: Vec<TrackerAction>, packet: Option<FlowPacket>) {
        for action in actions {
            match action {
                TrackerAction::Deliver => {
                    if let Some(packet) = packet {
                        self.serve(packet.key, packet.kind);
                    }
                }
                TrackerAction::DeliverHeld { key, .. } => self.serve(key, PacketKind::Data),
                TrackerAction::Refuse(key, _) => {
                    if let Some(flow) = self.flows.remove(&key) {
                        self.tallies[flow.class].refused += 1;
                    }
                }
                _ => {}
            }
        }
    }

    /// Passes a packet to the server.
    fn serve(&mut self, key: FlowKey, kind: PacketKind) {
        match kind {
            PacketKind::Open { .. } => {
                self.reply(key, PacketKind::Accept, 0);
                self.accepted.push(key);
            }
            PacketKind::Data if self.working.len() < SLOTS => self.work(key),
            PacketKind::Data if self.queued.len() < SERVER_QUEUE => self.queued.push_back(key),
            PacketKind::Data => self.answer(key, true),
            _ => {}
        }
    }

    fn work(&mut self, key: FlowKey) {
        let class = self.flows[&key].class;
        self.working.push((self.now + WORK_MS[class], key));
    }

    fn finish_work(&mut self) {
        while let Some(index) = self.working.iter().position(|(end, _)| *end <= self.now) {
            let (_, key) = self.working.swap_remove(index);
            if let Some(next) = self.queued.pop_front() {
                self.work(next);
            }
            self.answer(key, false);
        }
    }

    fn answer(&mut self, key: FlowKey, failed: bool) {
        let flow = self.flows.get_mut(&key).expect("the flow is open");
        let started = flow.started.take().expect("a request is in progress");
        let tally = &mut self.tallies[flow.class];
        let time = self.now - started;
        tally.longest_ms = tally.longest_ms.max(time);
        match (failed, time <= OBJECTIVE_MS) {
            (true, _) => tally.failed += 1,
            (false, true) => tally.in_time += 1,
            (false, false) => tally.late += 1,
        }
        let is_short = flow.class == 0;
        self.reply(key, PacketKind::Data, 100);
        if is_short {
            self.send(key, PacketKind::Finish, 0);
            self.reply(key, PacketKind::Finish, 0);
            self.flows.remove(&key);
        }
    }

    fn reply(&mut self, key: FlowKey, kind: PacketKind, data_len: u16) {
        let packet = FlowPacket {
            key,
            data_len,
            ..packet(0, kind)
        };
        let actions = backend(&mut self.tracker, &packet, Millis(self.now));
        self.act(actions, None);
    }
}

/// Guards against urgent requests on new flows that are refused or late because long flows of a less
/// urgent class take every slot, and against a scheduler that loses or starves the latter or leaves
/// slots idle. Callers that hold 40 flows keep ten times as many requests waiting as there are slots.
#[rstest]
#[case::after_a_calm_time(true, 0)]
#[case::from_the_start(false, 0)]
#[case::with_many_open_flows(true, 40)]
fn serves_urgent_requests_under_an_overload_of_long_flows(
    #[case] is_calm_first: bool,
    #[case] open_flows: u16,
) {
    let before = LoadRun::run(false, is_calm_first, open_flows);
    let after = LoadRun::run(true, is_calm_first, open_flows);
    println!("off: {before:?}\non:  {after:?}");
    let ([urgent_before, _], [urgent, bulk]) = (before, after);
    assert!(urgent_before.in_time * 2 < urgent_before.offered);
    assert!(urgent.in_time * 100 >= urgent.offered * 99);
    let work = |[urgent, bulk]: [ClassTally; 2]| {
        u64::from(urgent.served()) * WORK_MS[0] + u64::from(bulk.served()) * WORK_MS[1]
    };
    assert!(work(after) * 100 >= work(before) * 98);
    // Every request that isn't refused is answered, nearly always by a response.
    assert_eq!(bulk.served() + bulk.refused + bulk.failed, bulk.offered);
    assert!(bulk.failed * 1_000 <= bulk.offered);
    assert!(u64::from(bulk.served()) * WORK_MS[1] > LENGTH_MS * SLOTS as u64 / 2);
    assert!(bulk.longest_ms < LONGEST_MS);
    if is_calm_first {
        assert!(bulk.in_time > bulk.late);
    }
}
