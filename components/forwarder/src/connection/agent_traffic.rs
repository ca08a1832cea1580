//! The traffic thread of an agent.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::PassCause,
    process::BackendBeat,
    request::ForwardHead,
    version::SiteRules,
    FlowKeeper,
    FlowKey,
    FlowPacket,
    KeeperAction,
    KeeperSettings, //
};
use carobdrum_platform::{
    clear_marks,
    read_attempt_id,
    read_failure,
    read_from_backend,
    read_from_caller,
    reset_packet, //
};
use carobdrum_telemetry::LogBudget;
use carobdrum_wire::flow_datagram::{
    address_number,
    number_address,
    FlowBody,
    FlowDatagram,
    FlowOwner,
    ForwardedPacket,
    ServerReport, //
};
use compact_str::CompactString;
use prost::Message;
use tokio::{
    sync::{
        mpsc::Receiver,
        oneshot,
        watch, //
    },
    time::{
        interval,
        sleep_until,
        Instant,
        MissedTickBehavior, //
    },
};
use tracing::{
    debug,
    info, //
};

use super::{
    head_codec::{
        decode_head,
        encode_forward, //
    },
    revision_sight::{
        raise_revision,
        RevisionSight, //
    },
    udp_port::UdpPort, //
};
use crate::process::{
    BootClock,
    NodeError,
    NodeMetrics, //
};

/// Datagrams read from one socket before the others get their turn.
const BATCH: usize = 64;

/// Most log lines about flows per second.
const MAX_LINES: u32 = 200;

/// Shortest time between reports to one balancer.
const REPORT_INTERVAL: Millis = Millis(100);

/// Time without packets of a balancer after which it gets no reports.
const REPORT_SPAN: Millis = Millis(15_000);

/// Time between reports to a balancer that doesn't send. After a restart it learns of the agent by
/// them, also while the store is away.
const IDLE_INTERVAL: Millis = Millis(1_000);

/// Most balancers that get reports without sending, so that their number doesn't grow with the
/// fleet.
const MAX_IDLE_PEERS: usize = 16;

/// Time between checks of what is out of date, and of reports that are owed.
const TICK: Duration = Duration::from_millis(100);

/// Wait for a timer that isn't set.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// What the control thread tells the traffic thread of an agent.
#[derive(Debug)]
pub(crate) enum AgentUpdate {
    /// Changed settings.
    Settings(KeeperSettings),
    /// A heartbeat; the answer is whether it is new.
    Beat(BackendBeat, oneshot::Sender<bool>),
    /// The backend server leaves.
    Leave(CompactString, oneshot::Sender<bool>),
    /// The process is about to stop; the answer comes when no flow is open.
    Stop(oneshot::Sender<()>),
}

/// A balancer that sends to this agent.
#[derive(Clone, Copy, Debug)]
struct BalancerPeer {
    address: SocketAddrV4,
    heard: Millis,
    reported: Option<Millis>,
    /// Whether packets came since the last report.
    owed: bool,
}

impl BalancerPeer {
    fn is_due(&self, now: Millis) -> bool {
        self.reported
            .is_none_or(|reported| now.since(reported) >= REPORT_INTERVAL)
    }

    fn is_quiet(&self, now: Millis) -> bool {
        self.reported
            .is_none_or(|reported| now.since(reported) >= IDLE_INTERVAL)
    }
}

/// Sockets and flows of an agent.
#[derive(Debug)]
pub(crate) struct AgentTraffic {
    clock: BootClock,
    /// Highest revision that other processes have shown.
    seen: watch::Sender<RevisionSight>,
    keeper: FlowKeeper,
    address: SocketAddrV4,
    backend: SocketAddrV4,
    packets: UdpPort,
    outgoing: UdpPort,
    peers: Vec<BalancerPeer>,
    accepts: bool,
    actions: Vec<KeeperAction>,
    stopped: Option<oneshot::Sender<()>>,
    metrics: NodeMetrics,
    budget: LogBudget,
}

impl AgentTraffic {
    /// Opens the sockets: the agent's address for processes, `outgoing` for the backend server.
    pub(crate) async fn open(
        settings: KeeperSettings,
        backend: SocketAddrV4,
        outgoing: SocketAddrV4,
        seen: watch::Sender<RevisionSight>,
        metrics: NodeMetrics,
    ) -> Result<AgentTraffic, NodeError> {
        let address = settings.address;
        Ok(AgentTraffic {
            keeper: FlowKeeper::new(settings, BootClock.now()),
            clock: BootClock,
            seen,
            address,
            backend,
            packets: UdpPort::open(address).await?,
            outgoing: UdpPort::open(outgoing).await?,
            peers: Vec::new(),
            accepts: true,
            actions: Vec::new(),
            stopped: None,
            metrics,
            budget: LogBudget::new(MAX_LINES),
        })
    }

    /// Forwards packets until the control thread is gone.
    pub(crate) async fn run(
        mut self,
        mut updates: Receiver<AgentUpdate>,
        mut rules: watch::Receiver<Option<Arc<SiteRules>>>,
    ) -> Result<(), NodeError> {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wait = self.offer_wait();
            tokio::select! {
                _ = self.packets.readable() => self.read_forwards(),
                _ = self.outgoing.readable() => self.read_backend(),
                update = updates.recv() => match update {
                    Some(update) => self.apply(update),
                    None => return Ok(()),
                },
                () = sleep_until(Instant::now() + wait) => self.check_offers(),
                changed = rules.changed() => match changed {
                    Ok(()) => self.take_rules(rules.borrow_and_update().clone()),
                    Err(_) => return Ok(()),
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn offer_wait(&self) -> Duration {
        let now = self.clock.now();
        self.keeper
            .next_offer()
            .map_or(IDLE_WAIT, |due| Duration::from_millis(due.since(now).0))
    }

    fn apply(&mut self, update: AgentUpdate) {
        let now = self.clock.now();
        match update {
            AgentUpdate::Settings(settings) => self.keeper.set_settings(settings),
            AgentUpdate::Beat(beat, answer) => {
                let is_new = self.keeper.take_beat(beat, now);
                // The caller may have given up waiting.
                let _ = answer.send(is_new);
            }
            AgentUpdate::Leave(id, answer) => {
                let _ = answer.send(self.keeper.leave(&id));
            }
            AgentUpdate::Stop(answer) => {
                self.keeper.stop();
                self.stopped = Some(answer);
            }
        }
        self.report_change(now);
    }

    fn take_rules(&mut self, rules: Option<Arc<SiteRules>>) {
        if let Some(rules) = rules {
            self.keeper.set_rules(rules);
            self.report_change(self.clock.now());
        }
    }

    fn read_forwards(&mut self) {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let Some((bytes, from)) = self.packets.receive() else {
                return;
            };
            let bytes = Bytes::copy_from_slice(bytes);
            let body = FlowDatagram::decode(bytes).ok().and_then(|read| read.body);
            match body {
                Some(FlowBody::Forward(forwarded)) => self.take_forward(forwarded, now),
                Some(FlowBody::Probe(probe)) => {
                    let balancer = number_address(probe.balancer);
                    raise_revision(&self.seen, probe.revision, *balancer.ip());
                    self.meet(balancer, now);
                }
                _ => debug!(%from, "datagram dropped"),
            }
        }
    }

    fn take_forward(&mut self, forwarded: ForwardedPacket, now: Millis) {
        let packet = match read_from_caller(&forwarded.packet) {
            Ok(packet) => packet,
            Err(error) => {
                self.metrics.malformed.inc();
                if let Some(left_out) = self.budget.admit() {
                    info!(%error, left_out, "forwarded packet dropped");
                }
                return;
            }
        };
        let head = decode_head(&forwarded);
        raise_revision(&self.seen, head.revision, *head.balancer.ip());
        self.meet(head.balancer, now);
        let hops = head.hops;
        let bytes = forwarded.packet;
        self.log_request(&packet, &bytes);
        let mut actions = std::mem::take(&mut self.actions);
        self.keeper
            .take_forward(&packet, &bytes, head, now, &mut actions);
        if packet.is_open() && actions.contains(&KeeperAction::Deliver) {
            let report = self.keeper.report(now);
            self.metrics.opened.inc();
            if let Some(left_out) = self.budget.admit() {
                let (busy, slots, revision) = (report.busy, report.slots, report.revision);
                info!(flow = %packet.key, hops, busy, slots, revision, left_out, "flow offered");
            }
        }
        self.act(&mut actions, &bytes);
        self.actions = actions;
    }

    /// Writes the id of a request beside its flow, where the first packet of data shows it.
    fn log_request(&mut self, packet: &FlowPacket, bytes: &Bytes) {
        if packet.data_len == 0 {
            return;
        }
        let Some(attempt) = read_attempt_id(bytes) else {
            return;
        };
        if let Some(left_out) = self.budget.admit() {
            info!(flow = %packet.key, %attempt, left_out, "request arrived");
        }
    }

    fn read_backend(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        for _ in 0..BATCH {
            let Some((bytes, _)) = self.outgoing.receive() else {
                break;
            };
            let packet = match read_from_backend(bytes) {
                Ok(packet) => packet,
                Err(error) => {
                    self.metrics.malformed.inc();
                    if let Some(left_out) = self.budget.admit() {
                        info!(%error, left_out, "packet of the backend server dropped");
                    }
                    continue;
                }
            };
            if packet.returned {
                clear_marks(bytes);
            }
            self.keeper.take_backend(&packet, now, &mut actions);
            let answers = |action: &KeeperAction| matches!(action, KeeperAction::Answered(..));
            if actions.iter().any(answers) {
                self.keeper.note_answer(read_failure(bytes), now);
            }
            if actions.first() == Some(&KeeperAction::ToCaller) {
                let to = SocketAddrV4::new(*packet.key.caller.ip(), self.address.port());
                self.packets.send(bytes, to);
                self.metrics.answered.inc();
                self.act(&mut actions, &Bytes::new());
                continue;
            }
            let bytes = Bytes::copy_from_slice(bytes);
            self.act(&mut actions, &bytes);
        }
        self.actions = actions;
    }

    fn act(&mut self, actions: &mut Vec<KeeperAction>, bytes: &Bytes) {
        for action in actions.drain(..) {
            match action {
                KeeperAction::Deliver => {
                    self.metrics.forwarded.inc();
                    self.outgoing.send(bytes, self.backend);
                }
                KeeperAction::PassOn {
                    key,
                    to,
                    head,
                    stored,
                    cause,
                } => {
                    NodeMetrics::count(&self.metrics.passed, cause.name());
                    self.log_pass(key, to, &head, cause);
                    let packet = stored.unwrap_or_else(|| bytes.clone());
                    self.packets.send(&encode_forward(&head, packet), to);
                }
                // The caller of this function has sent the packet.
                KeeperAction::ToCaller => {}
                KeeperAction::Answered(key, time) => {
                    self.metrics.answer_time.observe(time.0 as f64 / 1_000.0);
                    if let Some(left_out) = self.budget.admit() {
                        info!(flow = %key, ms = time.0, left_out, "answer begins");
                    }
                }
                KeeperAction::Refuse(key, cause) => {
                    NodeMetrics::count(&self.metrics.refused, cause.name());
                    self.log_flow(key, cause, "refused");
                    let to = self.caller_port(key);
                    self.packets.send(&reset_packet(key, 0), to);
                }
                KeeperAction::Hint(balancer, key) => self.hint(balancer, key),
                KeeperAction::Drop(key, cause) => {
                    NodeMetrics::count(&self.metrics.dropped, cause.name());
                    self.log_flow(key, cause, "dropped");
                }
            }
        }
    }

    fn log_flow(&mut self, key: FlowKey, cause: PassCause, outcome: &'static str) {
        if let Some(left_out) = self.budget.admit() {
            let report = self.keeper.report(self.clock.now());
            info!(
                flow = %key,
                outcome,
                cause = cause.name(),
                busy = report.busy,
                slots = report.slots,
                revision = report.revision,
                left_out,
                "packet not delivered"
            );
        }
    }

    fn log_pass(&mut self, key: FlowKey, to: SocketAddrV4, head: &ForwardHead, cause: PassCause) {
        if let Some(left_out) = self.budget.admit() {
            let (hops, rest, cause) = (head.hops, head.rest.len(), cause.name());
            info!(flow = %key, %to, cause, hops, rest, left_out, "packet passed on");
        }
    }

    fn caller_port(&self, key: FlowKey) -> SocketAddrV4 {
        SocketAddrV4::new(*key.caller.ip(), self.address.port())
    }

    fn hint(&mut self, balancer: SocketAddrV4, key: FlowKey) {
        let owner = FlowDatagram::encode_body(FlowBody::Owner(FlowOwner {
            agent: address_number(self.address),
            caller: address_number(key.caller),
            service: address_number(key.service),
        }));
        self.packets.send(&owner, balancer);
    }

    fn check_offers(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        self.keeper.check_offers(now, &mut actions);
        self.act(&mut actions, &Bytes::new());
        self.actions = actions;
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        let unsent = self.packets.unsent + self.outgoing.unsent;
        self.metrics
            .unsent
            .set(i64::try_from(unsent).unwrap_or(i64::MAX));
        let report = self.keeper.report(now);
        self.metrics.busy.set(i64::from(report.busy));
        self.metrics
            .revision
            .set(i64::try_from(report.revision).unwrap_or(i64::MAX));
        self.keeper.expire(now);
        self.peers
            .retain(|peer| now.since(peer.heard) < REPORT_SPAN);
        self.report_change(now);
        self.pay_reports(now);
        if self.stopped.is_some() && self.keeper.open_flows() == 0 {
            if let Some(answer) = self.stopped.take() {
                // The control thread may have stopped waiting.
                let _ = answer.send(());
            }
        }
    }

    /// Notes that a balancer sends here, and answers with a report if the last one is old.
    fn meet(&mut self, balancer: SocketAddrV4, now: Millis) {
        let found = self
            .peers
            .binary_search_by_key(&balancer, |peer| peer.address);
        let index = found.unwrap_or_else(|index| {
            let peer = BalancerPeer {
                address: balancer,
                heard: now,
                reported: None,
                owed: false,
            };
            self.peers.insert(index, peer);
            index
        });
        let peer = &mut self.peers[index];
        peer.heard = now;
        peer.owed = true;
        if peer.is_due(now) {
            self.send_report(index, now);
        }
    }

    /// Sends the reports that were held back. A balancer takes an agent that doesn't answer its
    /// last packet as suspect.
    fn pay_reports(&mut self, now: Millis) {
        let mut idle_peers = 0;
        for index in 0..self.peers.len() {
            let peer = self.peers[index];
            let idle = !peer.owed && peer.is_quiet(now) && idle_peers < MAX_IDLE_PEERS;
            if idle {
                idle_peers += 1;
            }
            if idle || (peer.owed && peer.is_due(now)) {
                self.send_report(index, now);
            }
        }
    }

    fn send_report(&mut self, index: usize, now: Millis) {
        let report = self.report(now);
        let peer = &mut self.peers[index];
        peer.reported = Some(now);
        peer.owed = false;
        self.packets.send(&report, peer.address);
    }

    /// Tells all balancers when the server begins or ceases to take new flows.
    fn report_change(&mut self, now: Millis) {
        let accepts = self.keeper.report(now).accepts;
        if accepts == self.accepts {
            return;
        }
        self.accepts = accepts;
        info!(accepts, "backend server changed");
        for index in 0..self.peers.len() {
            self.send_report(index, now);
        }
    }

    fn report(&mut self, now: Millis) -> Vec<u8> {
        let report = self.keeper.report(now);
        FlowDatagram::encode_body(FlowBody::Report(ServerReport {
            agent: address_number(self.address),
            accepts: report.accepts,
            busy: report.busy,
            slots: report.slots,
            revision: report.revision,
            centre: self.keeper.centre().to_string(),
            service: self.keeper.service().to_string(),
            failing: u32::from(report.failing),
        }))
    }
}
