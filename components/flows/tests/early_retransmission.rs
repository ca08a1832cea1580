//! Early retransmission: which packets an agent sends to callers again, and which never.

mod support;

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        PacketResender,
        ResendAction,
        ResendHold,
        ResendLimits, //
    },
    version::SiteConfig,
    FlowKey,
    FlowPacket,
    FlowTracker,
    PacketKind, //
};
use rstest::rstest;
use support::*;

/// Sequence number of the acceptance of each flow.
const FIRST: u32 = u32::MAX - 3_000;
/// Time from a packet to its acknowledgement in calm times.
const ROUND_TRIP: u64 = 4;
const LEN: u16 = 1_000;
/// Caller of the flow that a test looks at; others have only taught the acknowledgement times.
const CALLER: u16 = 0;

/// An agent: its tracker, its resender, and the copies that it has sent.
struct Agent {
    tracker: FlowTracker,
    resender: PacketResender,
    now: u64,
    actions: Vec<ResendAction>,
}

impl Agent {
    fn new(percent: u32) -> Agent {
        let limits = ResendLimits {
            percent,
            min_delay: Millis(20),
        };
        Agent {
            tracker: tracker(),
            resender: PacketResender::new(limits, Millis(0)),
            now: 1_000,
            actions: Vec::new(),
        }
    }

    /// Returns an agent that knows the acknowledgement times and has a budget.
    fn taught() -> Agent {
        let mut agent = Agent::new(20);
        agent.teach(100);
        agent.open(CALLER);
        agent
    }

    /// Opens `flows` flows, each with a response of two packets and one of one packet, acknowledged in
    /// time.
    fn teach(&mut self, flows: u16) {
        for caller in 1_000..1_000 + flows {
            self.open(caller);
            self.request(caller, 0, 0);
            self.send(caller, 0);
            self.send(caller, 1);
            self.run(ROUND_TRIP);
            self.acknowledge(caller, 2);
            self.request(caller, 1, 2);
            self.send(caller, 2);
            self.run(ROUND_TRIP);
            self.acknowledge(caller, 3);
            self.caller(caller, PacketKind::Reset, 0, 0, 3);
            self.run(10);
        }
        assert!(self.copies().is_empty(), "nothing was late");
        self.actions.clear();
        // The budget is earned by earlier seconds.
        self.run(1_000);
    }

    fn caller(&mut self, caller: u16, kind: PacketKind, at: u32, len: u16, acknowledged: u32) {
        let mut sent = packet(caller, kind);
        sent.sequence = at;
        sent.data_len = len;
        sent.acknowledged = data_start(acknowledged);
        let now = Millis(self.now);
        self.resender.note_forwarded(&sent, now, &mut self.actions);
        forward(&mut self.tracker, &sent, header(&[]), now);
    }

    /// Handles the caller's request of this number, which acknowledges `packets` packets.
    fn request(&mut self, caller: u16, number: u32, packets: u32) {
        self.caller(caller, PacketKind::Data, number * 100, 100, packets);
    }

    fn acknowledge(&mut self, caller: u16, packets: u32) {
        self.caller(caller, PacketKind::Data, 10_000, 0, packets);
    }

    fn server(&mut self, sent: &FlowPacket, len: usize) {
        let now = Millis(self.now);
        backend(&mut self.tracker, sent, now);
        let terms = self.tracker.copy_terms(sent.key);
        let bytes = vec![0; len];
        self.resender
            .note_sent(sent, &bytes, terms, now, &mut self.actions);
    }

    /// Sends the server's packet of this number.
    fn send(&mut self, caller: u16, number: u32) {
        let mut sent = packet(caller, PacketKind::Data);
        sent.sequence = data_start(number);
        sent.data_len = LEN;
        self.server(&sent, usize::from(LEN));
    }

    fn accept(&mut self, caller: u16) {
        let mut sent = packet(caller, PacketKind::Accept);
        sent.sequence = FIRST;
        self.server(&sent, 32);
    }

    fn open(&mut self, caller: u16) {
        let opening = open_packet(caller);
        let now = Millis(self.now);
        self.resender
            .note_forwarded(&opening, now, &mut self.actions);
        forward(&mut self.tracker, &opening, header(&[]), now);
        self.accept(caller);
        self.run(ROUND_TRIP);
        self.acknowledge(caller, 0);
    }

    /// Lets time pass, with a decision in each millisecond.
    fn run(&mut self, time: u64) {
        for _ in 0..time {
            self.now += 1;
            self.decide();
        }
    }

    fn decide(&mut self) {
        let tracker = &self.tracker;
        let (hold, now) = (tracker.copy_hold(), Millis(self.now));
        let terms = |key| tracker.copy_terms(key);
        self.resender.send_due(hold, terms, now, &mut self.actions);
    }

    /// Returns the copies, by flow and sequence number.
    fn copies(&self) -> Vec<(FlowKey, u32)> {
        let copy = |action: &ResendAction| match action {
            ResendAction::Copy { key, sequence, .. } => Some((*key, *sequence)),
            _ => None,
        };
        self.actions.iter().filter_map(copy).collect()
    }

    fn count(&self, action: ResendAction) -> usize {
        let counted = self.actions.iter().filter(|other| **other == action);
        counted.count()
    }
}

/// Returns the sequence number of the data of a packet; the acceptance counts as a byte.
fn data_start(number: u32) -> u32 {
    FIRST.wrapping_add(1 + number * u32::from(LEN))
}

/// Guards against a lost packet that waits for the server's retransmission, against copies of packets
/// behind it that may have arrived, and against a second copy of a packet.
#[test]
fn missing_packet_is_sent_again_once() {
    let mut agent = Agent::taught();
    agent.request(CALLER, 0, 0);
    for number in 0..4 {
        agent.send(CALLER, number);
    }
    agent.run(19);
    assert!(
        agent.copies().is_empty(),
        "the smallest delay hasn't passed"
    );
    agent.run(1);
    assert_eq!(agent.copies(), [(key(CALLER), data_start(0))]);
    agent.run(ROUND_TRIP);
    agent.acknowledge(CALLER, 2);
    assert_eq!(agent.count(ResendAction::Ended { is_useful: true }), 1);
    agent.decide();
    assert_eq!(agent.copies()[1..], [(key(CALLER), data_start(2))]);
    agent.acknowledge(CALLER, 4);
    // Sooner than a round trip after the copy.
    assert_eq!(agent.count(ResendAction::Ended { is_useful: false }), 1);
    agent.run(400);
    assert_eq!(agent.copies().len(), 2);
    assert_eq!(agent.resender.memory(), 0);
}

/// Guards against copies that a caller gets after its flow has ended or after a newer response has begun,
/// whichever packet shows it, and while the agent may not know it or forward flows no more.
#[rstest]
#[case::reset_by_caller(|agent: &mut Agent| agent.caller(CALLER, PacketKind::Reset, 0, 0, 0))]
#[case::finish_of_caller(|agent: &mut Agent| agent.caller(CALLER, PacketKind::Finish, 100, 0, 0))]
#[case::reset_by_server(|agent: &mut Agent| agent.server(&packet(CALLER, PacketKind::Reset), 32))]
#[case::newer_request(|agent: &mut Agent| agent.request(CALLER, 1, 0))]
#[case::same_endpoints(|agent: &mut Agent| agent.open(CALLER))]
#[case::retransmission(|agent: &mut Agent| agent.send(CALLER, 0))]
#[case::stopping(|agent: &mut Agent| agent.tracker.stop())]
#[case::server_ended(|agent: &mut Agent| {
    agent.tracker.note_server_ended();
    agent.tracker.reset_lost_flows(&mut Vec::new());
})]
#[case::evacuated(|agent: &mut Agent| {
    let mut config = config(2);
    config.set_evacuated_centres([CENTRE.into()]);
    agent.tracker.set_config(Arc::new(config), Millis(agent.now));
})]
#[case::paused(|agent: &mut Agent| agent.now += 60)]
#[case::paused_for_long(|agent: &mut Agent| agent.now += 5_000)]
#[case::restarted(|agent: &mut Agent| {
    agent.resender = Agent::new(20).resender;
    agent.teach(100);
    agent.send(CALLER, 1);
})]
fn no_copy_is_sent_after(#[case] event: fn(&mut Agent)) {
    let with_event = |event: fn(&mut Agent)| {
        let mut agent = Agent::taught();
        agent.request(CALLER, 0, 0);
        agent.send(CALLER, 0);
        agent.run(10);
        event(&mut agent);
        agent.run(300);
        agent.copies()
    };
    assert_eq!(with_event(|_| ()).len(), 1, "nothing forbids the copy");
    let copies = with_event(event);
    assert!(copies.is_empty(), "{copies:?}");
}

/// Guards against a copy of a packet of an earlier response while a newer one may have begun: callers may
/// send several requests without waiting, in order or not.
#[rstest]
#[case::in_order(&[(0, 100), (100, 100)])]
#[case::second_first(&[(100, 100), (0, 100)])]
#[case::gap(&[(0, 100), (300, 100)])]
fn several_requests_end_copies(#[case] requests: &[(u32, u16)]) {
    let mut agent = Agent::taught();
    for &(at, len) in requests {
        agent.caller(CALLER, PacketKind::Data, at, len, 0);
    }
    agent.send(CALLER, 0);
    agent.run(300);
    assert!(agent.copies().is_empty());
    // A repeated request is no further one.
    let mut agent = Agent::taught();
    agent.request(CALLER, 0, 0);
    agent.request(CALLER, 0, 0);
    agent.send(CALLER, 0);
    agent.run(300);
    assert_eq!(agent.copies().len(), 1);
}

/// Guards against copies on routes whose requests must not be repeated, and against copies that go on
/// after a route has changed its kind.
#[test]
fn flows_of_other_routes_are_left_alone() {
    let mut agent = Agent::taught();
    agent.request(CALLER, 0, 0);
    agent.send(CALLER, 0);
    let original = config(2);
    let mut route = original.routes()[0].clone();
    route.is_idempotent = false;
    let changed = SiteConfig::new(2, Millis(15_000), [route], original.services().to_vec());
    let now = Millis(agent.now);
    agent.tracker.set_config(Arc::new(changed), now);
    agent.run(300);
    agent.open(CALLER + 1);
    agent.request(CALLER + 1, 0, 0);
    agent.send(CALLER + 1, 0);
    agent.run(300);
    assert!(agent.copies().is_empty());
    assert_eq!(agent.resender.memory(), 0);
}

/// Guards against copies of a last odd packet that callers acknowledge late as a rule, and against
/// acknowledgement times of such packets that delay the copies of others.
#[rstest]
#[case::a_little(30, Some(60))]
#[case::nearly_as_late_as_a_retransmission(100, None)]
fn late_acknowledgements_of_odd_packets_are_learnt(
    #[case] late: u64,
    #[case] delay: Option<usize>,
) {
    let mut agent = Agent::new(20);
    for caller in 1_000..1_100 {
        agent.open(caller);
        agent.request(caller, 0, 0);
        for number in 0..3 {
            agent.send(caller, number);
        }
        agent.run(ROUND_TRIP);
        agent.acknowledge(caller, 2);
        agent.run(late - ROUND_TRIP);
        agent.acknowledge(caller, 3);
        agent.caller(caller, PacketKind::Reset, 0, 0, 3);
    }
    agent.run(1_000);
    assert!(
        agent.copies().is_empty(),
        "no acknowledgement was later than usual"
    );
    agent.open(CALLER);
    agent.request(CALLER, 0, 0);
    agent.send(CALLER, 0);
    let sent = agent.now;
    let copied = (0..300).find(|_| {
        agent.run(1);
        !agent.copies().is_empty()
    });
    assert_eq!(copied.map(|_| (agent.now - sent) as usize), delay);
    agent.open(CALLER + 1);
    agent.request(CALLER + 1, 0, 0);
    agent.send(CALLER + 1, 0);
    agent.send(CALLER + 1, 1);
    agent.run(20);
    let last = agent.copies().last().map(|(copied, _)| *copied);
    assert_eq!(last, Some(key(CALLER + 1)), "pairs keep their short delay");
}

/// Guards against a lost acceptance that costs the caller a retransmission, and against its copy at a time
/// when the caller may have opened the flow at another server.
#[rstest]
#[case::first_copy(0, 0, 1)]
#[case::retransmission(1, 0, 0)]
#[case::slow_server(0, 140, 0)]
fn acceptance_is_sent_again(#[case] retransmission: u8, #[case] work: u64, #[case] copies: usize) {
    let mut agent = Agent::taught();
    let opening = packet(CALLER + 1, PacketKind::Open { retransmission });
    let now = Millis(agent.now);
    forward(&mut agent.tracker, &opening, header(&[]), now);
    agent.run(work);
    agent.accept(CALLER + 1);
    agent.run(300);
    assert_eq!(agent.copies().len(), copies);
}

/// Guards against copies before enough acknowledgement times are known, and without a budget.
#[test]
fn new_agent_sends_nothing() {
    let mut agent = Agent::new(20);
    agent.teach(49);
    agent.open(CALLER);
    agent.request(CALLER, 0, 0);
    agent.send(CALLER, 0);
    agent.run(200);
    agent.send(CALLER, 0);
    assert_eq!(agent.actions, [ResendAction::Hold(ResendHold::FewSamples)]);
    assert!(agent.copies().is_empty());
    let mut agent = Agent::taught();
    let limits = ResendLimits {
        percent: 1,
        min_delay: Millis(20),
    };
    agent.resender.set_limits(limits, Millis(agent.now));
    agent.request(CALLER, 0, 0);
    agent.send(CALLER, 0);
    agent.run(200);
    // No earlier packets pay for a copy.
    assert_eq!(agent.actions, [ResendAction::Hold(ResendHold::Budget)]);
}

/// Guards against memory that grows with the flows or with packets that are never acknowledged, and
/// against memory that isn't released.
#[test]
fn memory_is_bounded() {
    let mut agent = Agent::new(20);
    for caller in 0..400 {
        agent.open(caller);
        agent.request(caller, 0, 0);
        for number in 0..8 {
            agent.send(caller, number);
        }
        assert!(agent.resender.memory() <= 256 * 1_024);
    }
    assert!(agent.resender.memory() > 200 * 1_024);
    assert!(agent.count(ResendAction::Hold(ResendHold::Memory)) > 0);
    agent.resender.expire(|_| None);
    assert_eq!(agent.resender.memory(), 0);
}
