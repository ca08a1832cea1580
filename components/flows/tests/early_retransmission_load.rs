//! Early retransmission on lossy and congested links: a model of callers, a server and the agent beside
//! it, with the same load with copies off and on.

mod support;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};
use carobdrum_flows::{
    connection::{
        CopyTerms,
        PacketResender,
        ResendAction,
        ResendLimits, //
    },
    FlowPacket,
    PacketKind, //
};
use support::*;

const FLOWS: u16 = 40;
const END: u64 = 60_000;
const LEN: u32 = 1_000;
/// First interval after which an end retransmits, and the longest one.
const RETRANSMISSION: u64 = 200;
const LONGEST_RETRANSMISSION: u64 = 1_600;
/// Time after which a caller acknowledges a last odd packet.
const LATE_ACKNOWLEDGEMENT: u64 = 25;
const PERCENT: u32 = 10;
/// Terms of an open flow. Acceptances aren't kept, since the handshake of the model takes no time.
const OPEN: CopyTerms = CopyTerms {
    is_open: true,
    accept_until: Millis(0),
};

#[derive(Clone, Debug)]
enum Event {
    /// A packet of the caller reaches the agent and the server beside it.
    ToServer(FlowPacket),
    /// A packet of the server reaches the caller; the flag marks a copy.
    ToCaller(FlowPacket, bool),
    Respond(u32),
    Acknowledge(u32),
    CallerTimer(u64),
    /// The server retransmits the packet of this number unless it is acknowledged.
    ServerTimer(u32, u64),
    NextRequest,
}

/// Both ends of a flow.
#[derive(Default)]
struct Ends {
    /// Number of the caller's request, from 1, and when it was sent.
    request: u32,
    asked: u64,
    is_waiting: bool,
    /// Next packet that the caller expects, and later ones that it has got.
    expected: u32,
    buffered: BTreeSet<u32>,
    unacknowledged: u32,
    acknowledgements: u32,
    /// Last request that the server has got.
    arrived: u32,
    acknowledged: u32,
    /// Number of the response of each packet of the server.
    responses: Vec<u32>,
}

/// The ends and the link between them. Pairs count what happens outside and in a congestion.
#[derive(Default)]
struct World {
    lost_ppm: u64,
    /// Time in which the link to the callers takes one packet a millisecond only.
    congested: (u64, u64),
    resender: Option<PacketResender>,
    now: u64,
    random: u64,
    events: BTreeMap<(u64, u64), (u16, Event)>,
    count: u64,
    link_free: u64,
    ends: Vec<Ends>,
    times: Vec<u64>,
    packets: [u64; 2],
    copies: [u64; 2],
    useful: [u64; 2],
}

impl World {
    fn run(lost_ppm: u64, congested: (u64, u64), percent: u32) -> World {
        let min_delay = Millis(20);
        let limits = ResendLimits { percent, min_delay };
        let mut world = World {
            lost_ppm,
            congested,
            resender: (percent > 0).then(|| PacketResender::new(limits, Millis(0))),
            ends: (0..FLOWS).map(|_| Ends::default()).collect(),
            ..World::default()
        };
        (0..FLOWS).for_each(|flow| world.open(flow));
        while world.now < END {
            let next = world.events.keys().next().map(|(at, _)| Millis(*at));
            let due = world.resender.as_ref().and_then(|r| r.next_deadline());
            world.now = next.into_iter().chain(due).min().unwrap().0;
            let next = |world: &World| world.events.keys().next().map(|(at, _)| *at);
            while next(&world) == Some(world.now) {
                let (_, (flow, event)) = world.events.pop_first().unwrap();
                world.handle(flow, event);
            }
            world.decide(|resender, now, actions| {
                resender.send_due(None, |_| Some(OPEN), now, actions);
            });
        }
        world.times.sort_unstable();
        world
    }

    fn random(&mut self, limit: u64) -> u64 {
        self.random += 1;
        splitmix64(self.random) % limit
    }

    fn after(&mut self, time: u64, flow: u16, event: Event) {
        self.count += 1;
        let at = (self.now + time, self.count);
        self.events.insert(at, (flow, event));
    }

    fn is_congested(&self) -> usize {
        usize::from((self.congested.0..self.congested.1).contains(&self.now))
    }

    /// Sends a packet over the link, which loses some.
    fn transmit(&mut self, flow: u16, event: Event) {
        let mut time = 2 + self.random(3);
        if matches!(event, Event::ToCaller(..)) && self.is_congested() == 1 {
            self.link_free = self.link_free.max(self.now) + 1;
            time += self.link_free - self.now;
        }
        if self.random(1_000_000) >= self.lost_ppm {
            self.after(time, flow, event);
        }
    }

    fn open(&mut self, flow: u16) {
        let mut accepted = packet(flow, PacketKind::Accept);
        accepted.sequence = first(flow);
        let mut confirmed = packet(flow, PacketKind::Data);
        confirmed.acknowledged = accepted.sequence;
        let mut opening = OPEN;
        opening.is_open = false;
        self.decide(|resender, now, actions| {
            resender.note_forwarded(&open_packet(flow), now, actions);
            resender.note_sent(&accepted, &[], Some(opening), now, actions);
            resender.note_forwarded(&confirmed, now, actions);
        });
        let pause = self.random(50);
        self.after(pause, flow, Event::NextRequest);
    }

    /// Carries out the actions of the agent, after checking that its copies are of the newest response.
    fn decide(&mut self, decide: impl FnOnce(&mut PacketResender, Millis, &mut Vec<ResendAction>)) {
        let mut actions = Vec::new();
        if let Some(resender) = &mut self.resender {
            decide(resender, Millis(self.now), &mut actions);
        }
        for action in actions {
            match action {
                ResendAction::Copy { key, sequence, .. } => {
                    let flow = key.caller.port() - support::key(0).caller.port();
                    let ends = &self.ends[usize::from(flow)];
                    let number = sequence.wrapping_sub(first(flow)) / LEN;
                    assert_eq!(ends.responses[number as usize], ends.arrived);
                    self.copies[self.is_congested()] += 1;
                    let sent = self.data(flow, number);
                    self.transmit(flow, Event::ToCaller(sent, true));
                }
                ResendAction::Ended { is_useful } => self.useful[usize::from(!is_useful)] += 1,
                ResendAction::Hold(_) => {}
            }
        }
    }

    fn data(&self, flow: u16, number: u32) -> FlowPacket {
        FlowPacket {
            sequence: first(flow).wrapping_add(number * LEN),
            data_len: LEN as u16,
            ..packet(flow, PacketKind::Data)
        }
    }

    fn send_data(&mut self, flow: u16, number: u32, interval: u64) {
        let data = self.data(flow, number);
        self.packets[self.is_congested()] += 1;
        self.decide(|resender, now, actions| {
            let bytes = [0; LEN as usize];
            resender.note_sent(&data, &bytes, Some(OPEN), now, actions);
        });
        self.transmit(flow, Event::ToCaller(data, false));
        let next = (interval * 2).min(LONGEST_RETRANSMISSION);
        self.after(interval, flow, Event::ServerTimer(number, next));
    }

    /// Sends the caller's acknowledgement, alone or with its request.
    fn send_caller(&mut self, flow: u16, data_len: u16) {
        let ends = &mut self.ends[usize::from(flow)];
        ends.unacknowledged = 0;
        ends.acknowledgements += 1;
        let mut sent = packet(flow, PacketKind::Data);
        sent.sequence = ends.request * 100;
        sent.data_len = data_len;
        sent.acknowledged = first(flow).wrapping_add(ends.expected * LEN);
        self.transmit(flow, Event::ToServer(sent));
    }

    fn handle(&mut self, flow: u16, event: Event) {
        let now = self.now;
        let ends = &mut self.ends[usize::from(flow)];
        match event {
            Event::NextRequest => {
                ends.is_waiting = true;
                ends.request += 1;
                ends.asked = now;
                self.handle(flow, Event::CallerTimer(RETRANSMISSION));
            }
            Event::CallerTimer(interval) => {
                if ends.is_waiting && ends.responses.last() != Some(&ends.request) {
                    self.send_caller(flow, 100);
                    let next = (interval * 2).min(LONGEST_RETRANSMISSION);
                    self.after(interval, flow, Event::CallerTimer(next));
                }
            }
            Event::Acknowledge(count) => {
                if ends.acknowledgements == count && ends.unacknowledged > 0 {
                    self.send_caller(flow, 0);
                }
            }
            Event::ToServer(sent) => self.reach_server(flow, &sent),
            Event::Respond(request) => {
                for _ in 0..1 + self.random(6) {
                    let responses = &mut self.ends[usize::from(flow)].responses;
                    let number = responses.len() as u32;
                    responses.push(request);
                    self.send_data(flow, number, RETRANSMISSION);
                }
            }
            Event::ServerTimer(number, interval) => {
                if number >= ends.acknowledged {
                    self.send_data(flow, number, interval);
                }
            }
            Event::ToCaller(sent, is_copy) => self.reach_caller(flow, &sent, is_copy),
        }
    }

    fn reach_server(&mut self, flow: u16, sent: &FlowPacket) {
        self.decide(|resender, now, actions| resender.note_forwarded(sent, now, actions));
        let ends = &mut self.ends[usize::from(flow)];
        let request = sent.sequence / 100;
        let acknowledged = sent.acknowledged.wrapping_sub(first(flow)) / LEN;
        ends.acknowledged = ends.acknowledged.max(acknowledged);
        if sent.data_len > 0 && request > ends.arrived {
            ends.arrived = request;
            let work = 3 + self.random(13);
            self.after(work, flow, Event::Respond(request));
        }
    }

    fn reach_caller(&mut self, flow: u16, sent: &FlowPacket, is_copy: bool) {
        let ends = &mut self.ends[usize::from(flow)];
        let number = sent.sequence.wrapping_sub(first(flow)) / LEN;
        if is_copy {
            let newest = ends.buffered.last().map_or(ends.expected, |last| last + 1);
            let newest = newest.max(1) as usize - 1;
            let has_newer = ends.responses[number as usize] < ends.responses[newest];
            assert!(!has_newer, "a copy arrived after a newer response");
        }
        if number < ends.expected || !ends.buffered.insert(number) {
            // A caller acknowledges at once what it gets twice.
            self.send_caller(flow, 0);
            return;
        }
        while ends.buffered.remove(&ends.expected) {
            ends.expected += 1;
        }
        ends.unacknowledged += 1;
        let has_pair = ends.unacknowledged >= 2;
        let count = ends.acknowledgements;
        let is_answered = ends.responses.last() == Some(&ends.request);
        let is_whole = ends.expected as usize == ends.responses.len();
        if std::mem::take(&mut ends.is_waiting) {
            ends.is_waiting = !(is_whole && is_answered);
            if !ends.is_waiting {
                self.times.push(self.now - ends.asked);
                let pause = 10 + self.random(40);
                self.after(pause, flow, Event::NextRequest);
            }
        }
        if has_pair {
            self.send_caller(flow, 0);
        } else {
            self.after(LATE_ACKNOWLEDGEMENT, flow, Event::Acknowledge(count));
        }
    }

    /// Returns the time that this share of the responses, in thousandths, doesn't exceed.
    fn percentile(&self, per_mille: usize) -> u64 {
        self.times[self.times.len() * per_mille / 1_000]
    }

    /// Returns the number of responses that needed a retransmission, of a million.
    fn late_ppm(&self) -> usize {
        let late = self.times.iter().filter(|time| **time >= RETRANSMISSION);
        late.count() * 1_000_000 / self.times.len()
    }
}

/// Returns the sequence number of the acceptance and of the first data.
fn first(flow: u16) -> u32 {
    splitmix64(u64::from(flow)) as u32
}

fn compare(lost_ppm: u64, congested: (u64, u64)) -> [World; 2] {
    let worlds = [0, PERCENT].map(|percent| World::run(lost_ppm, congested, percent));
    for world in &worlds {
        let percentiles = [500, 990, 999].map(|share| world.percentile(share));
        println!(
            "{} responses, p50 p99 p99.9 {percentiles:?} ms, {} ppm late; {:?} packets, {:?} copies, {:?} useful and wasted",
            world.times.len(), world.late_ppm(), world.packets, world.copies, world.useful
        );
    }
    let [copies, packets] = [worlds[1].copies, worlds[1].packets].map(|pair| pair[0] + pair[1]);
    assert!(copies > 0 && copies * 100 <= packets * u64::from(PERCENT));
    worlds
}

/// Guards against lost packets of responses that wait for the server's retransmission. Lost requests still
/// wait for that of the caller.
#[rstest::rstest]
#[case::one_in_a_thousand(1_000)]
#[case::one_in_twenty(50_000)]
fn lossy_link_delays_fewer_responses(#[case] lost_ppm: u64) {
    let [off, on] = compare(lost_ppm, (0, 0));
    assert!(on.late_ppm() * 2 < off.late_ppm());
    for share in [500, 990, 999] {
        assert!(on.percentile(share) <= off.percentile(share));
    }
}

/// Guards against copies that add to the load of a congested link, on which packets are late but not lost.
#[test]
fn congested_link_gets_few_copies() {
    let [_, on] = compare(1_000, (20_000, 40_000));
    assert!(on.packets[1] > 10_000, "the link is busy");
    assert!(on.copies[1] * 100 < on.packets[1], "less than a percent");
}
