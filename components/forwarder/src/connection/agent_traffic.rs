//! Traffic thread of an agent.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_control::unix_millis;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        BackendHeartbeat,
        HeartbeatOutcome, //
    },
    version::SiteConfig,
    FlowKey,
    FlowTracker,
    PacketKind, //
    TrackerAction,
    TrackerSettings,
};
use carobdrum_platform::{
    clear_internal_fields,
    decode_backend_packet,
    decode_caller_packet,
    is_server_failure,
    read_attempt_id,
    reset_packet, //
};
use carobdrum_telemetry::HopKind;
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    FlowOwner,
    ForwardedPacket, //
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
use tracing::debug;

use super::{
    agent_reporter::AgentReporter,
    flow_log::FlowLog,
    header_codec::{
        decode_header,
        decode_owner,
        encode_forward, //
    },
    hop_spans::HopSpans,
    peer_revision::{
        raise_peer_revision,
        PeerRevision, //
    },
    udp_endpoint::UdpEndpoint, //
};
use crate::process::{
    BootClock,
    NodeError,
    NodeMetrics, //
};

/// Maximum number of datagrams read from one socket before the other sources are served.
const BATCH: usize = 64;

/// Interval between checks for expired state and pending reports.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Wait while no opening packet and no held request has a deadline.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// Message of the control thread to the traffic thread of an agent.
#[derive(Debug)]
pub(crate) enum AgentUpdate {
    /// The settings have changed.
    Settings(TrackerSettings),
    /// A heartbeat that the backend server sent at this time or later; the reply tells whether it was
    /// applied.
    Heartbeat(BackendHeartbeat, Millis, oneshot::Sender<BackendOutcome>),
    /// The backend server with this identity deregisters; it isn't applied if another one is known.
    Deregister(CompactString, oneshot::Sender<BackendOutcome>),
    /// The backend server has ended.
    ServerEnded,
    /// The process is shutting down; the reply is sent when no flow is open.
    Stop(oneshot::Sender<()>),
}

/// What became of a request of the backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BackendOutcome {
    /// Whether it was applied, and if not, why.
    pub(crate) outcome: HeartbeatOutcome,
    /// Whether the server is shutting down or has deregistered, as far as the agent knows now.
    pub(crate) is_leaving: bool,
}

/// State of an agent's traffic thread: its sockets and flows.
#[derive(Debug)]
pub(crate) struct AgentTraffic {
    clock: BootClock,
    /// Publishes the highest configuration revision of another process.
    revision_sender: watch::Sender<PeerRevision>,
    tracker: FlowTracker,
    address: SocketAddrV4,
    backend: SocketAddrV4,
    packets: UdpEndpoint,
    outgoing: UdpEndpoint,
    reporter: AgentReporter,
    actions: Vec<TrackerAction>,
    shutdown_answer: Option<oneshot::Sender<()>>,
    metrics: NodeMetrics,
    log: FlowLog,
    spans: HopSpans,
}

impl AgentTraffic {
    /// Opens the sockets: the address in `settings` for balancers and other agents, `outgoing` for
    /// the backend server.
    pub(crate) async fn open(
        settings: TrackerSettings,
        backend: SocketAddrV4,
        outgoing: SocketAddrV4,
        revision_sender: watch::Sender<PeerRevision>,
        metrics: NodeMetrics,
    ) -> Result<AgentTraffic, NodeError> {
        let address = settings.address;
        Ok(AgentTraffic {
            tracker: FlowTracker::new(settings, unix_millis(), BootClock.now()),
            clock: BootClock,
            revision_sender,
            address,
            backend,
            packets: UdpEndpoint::open(address).await?,
            outgoing: UdpEndpoint::open(outgoing).await?,
            reporter: AgentReporter::new(address),
            actions: Vec::new(),
            shutdown_answer: None,
            metrics,
            log: FlowLog::new(),
            spans: HopSpans::default(),
        })
    }

    /// Forwards packets until the control thread has ended.
    pub(crate) async fn run(
        mut self,
        mut updates: Receiver<AgentUpdate>,
        mut config: watch::Receiver<Option<Arc<SiteConfig>>>,
    ) -> Result<(), NodeError> {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let wait = self.opening_wait();
            tokio::select! {
                _ = self.packets.readable() => self.read_forwards(),
                _ = self.outgoing.readable() => self.read_backend(),
                update = updates.recv() => match update {
                    Some(update) => self.apply(update),
                    None => return Ok(()),
                },
                () = sleep_until(Instant::now() + wait) => self.check_openings(),
                changed = config.changed() => match changed {
                    Ok(()) => self.apply_config(config.borrow_and_update().clone()),
                    Err(_) => return Ok(()),
                },
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn opening_wait(&self) -> Duration {
        let now = self.clock.now();
        let opening = self.tracker.next_opening_deadline();
        let held = self.tracker.next_held_deadline(now);
        let due = opening.into_iter().chain(held).min();
        due.map_or(IDLE_WAIT, |due| Duration::from_millis(due.since(now).0))
    }

    fn apply(&mut self, update: AgentUpdate) {
        let now = self.clock.now();
        match update {
            AgentUpdate::Settings(settings) => self.tracker.set_settings(settings),
            AgentUpdate::Heartbeat(heartbeat, sent, answer) => {
                let outcome = self.tracker.handle_late_heartbeat(heartbeat, sent, now);
                // The requester may have stopped waiting.
                let _ = answer.send(self.backend_outcome(outcome));
                self.reset_lost_flows();
            }
            AgentUpdate::Deregister(id, answer) => {
                let outcome = if self.tracker.deregister(&id) {
                    HeartbeatOutcome::Continued
                } else {
                    HeartbeatOutcome::Stale
                };
                let _ = answer.send(self.backend_outcome(outcome));
            }
            AgentUpdate::Stop(answer) => {
                self.tracker.stop();
                self.shutdown_answer = Some(answer);
            }
            AgentUpdate::ServerEnded => {
                self.tracker.note_server_ended();
                self.reset_lost_flows();
            }
        }
        self.report_change(now);
    }

    fn announce_long_flows(&mut self, now: Millis) {
        self.run_tracker(|tracker, actions| tracker.announce_long_flows(now, actions));
    }

    fn backend_outcome(&self, outcome: HeartbeatOutcome) -> BackendOutcome {
        BackendOutcome {
            outcome,
            is_leaving: self.tracker.is_leaving(),
        }
    }

    fn reset_lost_flows(&mut self) {
        self.run_tracker(|tracker, actions| tracker.reset_lost_flows(actions));
    }

    fn apply_config(&mut self, config: Option<Arc<SiteConfig>>) {
        if let Some(config) = config {
            let now = self.clock.now();
            self.tracker.set_config(config, now);
            self.report_change(now);
        }
    }

    fn read_forwards(&mut self) {
        let now = self.clock.now();
        for _ in 0..BATCH {
            let Some((bytes, from)) = self.packets.receive(now) else {
                return;
            };
            let bytes = Bytes::copy_from_slice(bytes);
            let body = FlowDatagram::decode(bytes).ok().and_then(|read| read.body);
            match body {
                Some(FlowBody::Forward(forwarded)) => self.handle_forwarded(forwarded, now),
                Some(FlowBody::Probe(probe)) => {
                    let balancer = address_from_number(probe.balancer);
                    raise_peer_revision(&self.revision_sender, probe.revision, *balancer.ip());
                    self.note_balancer(balancer, now);
                }
                Some(FlowBody::Owner(owner)) => {
                    let (key, agent) = decode_owner(&owner);
                    self.tracker.record_owner(key, agent, now);
                }
                _ => debug!(%from, "datagram dropped: not for an agent"),
            }
        }
    }

    fn handle_forwarded(&mut self, forwarded: ForwardedPacket, now: Millis) {
        let packet = match decode_caller_packet(&forwarded.packet) {
            Ok(packet) => packet,
            Err(error) => {
                self.metrics.malformed.inc();
                self.log
                    .malformed(error, address_from_number(forwarded.balancer));
                return;
            }
        };
        let header = decode_header(&forwarded);
        raise_peer_revision(
            &self.revision_sender,
            header.revision,
            *header.balancer.ip(),
        );
        self.note_balancer(header.balancer, now);
        let hops = header.hops;
        let bytes = forwarded.packet;
        let attempt = (packet.data_len > 0).then(|| read_attempt_id(&bytes));
        if let Some(attempt) = attempt.flatten() {
            self.log.arrived(packet.key, &attempt);
        }
        let mut actions = std::mem::take(&mut self.actions);
        let arrived = self.packets.drained_at();
        self.tracker
            .handle_late_forwarded(&packet, &bytes, header, arrived, now, &mut actions);
        if packet.is_open() {
            self.note_opening(packet.key, hops, &actions, now);
        }
        self.act(&mut actions, &bytes);
        self.actions = actions;
    }

    /// Counts, logs and traces an opening packet that goes to the server or to another agent.
    fn note_opening(&mut self, key: FlowKey, hops: u8, actions: &[TrackerAction], now: Millis) {
        for action in actions {
            match action {
                TrackerAction::Deliver => {
                    let report = self.tracker.report(now);
                    self.metrics.opened.inc();
                    self.log.delivered(key, hops, report);
                    self.spans.record_hop(HopKind::Agent, key, self.backend);
                    self.spans.begin_request(key, self.backend);
                }
                TrackerAction::Redirect { to, .. } => {
                    self.spans.record_hop(HopKind::Agent, key, *to)
                }
                _ => {}
            }
        }
    }

    fn read_backend(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        for _ in 0..BATCH {
            let sent = self.outgoing.drained_at();
            let Some((bytes, _)) = self.outgoing.receive(now) else {
                break;
            };
            let packet = match decode_backend_packet(bytes) {
                Ok(packet) => packet,
                Err(error) => {
                    self.metrics.malformed.inc();
                    self.log.malformed(error, self.backend);
                    continue;
                }
            };
            if packet.returned {
                clear_internal_fields(bytes);
            } else {
                self.tracker.note_activity(sent);
            }
            if packet.kind == PacketKind::Reset && !packet.returned {
                self.log
                    .server_reset(packet.key, self.tracker.stage(packet.key));
            }
            self.tracker.handle_backend(&packet, now, &mut actions);
            let is_response_start =
                |action: &TrackerAction| matches!(action, TrackerAction::ResponseStarted(..));
            if actions.iter().any(is_response_start) {
                self.tracker.record_response(is_server_failure(bytes), now);
            }
            if actions.first() == Some(&TrackerAction::ToCaller) {
                let to = SocketAddrV4::new(*packet.key.caller.ip(), self.address.port());
                self.packets.send(bytes, to);
                self.metrics.response_packets.inc();
                self.act(&mut actions, &Bytes::new());
                continue;
            }
            let bytes = Bytes::copy_from_slice(bytes);
            self.act(&mut actions, &bytes);
        }
        self.actions = actions;
        self.report_change(now);
    }

    fn act(&mut self, actions: &mut Vec<TrackerAction>, bytes: &Bytes) {
        for action in actions.drain(..) {
            match action {
                TrackerAction::Deliver => {
                    self.metrics.forwarded.inc();
                    self.outgoing.send(bytes, self.backend);
                }
                TrackerAction::DeliverHeld {
                    key,
                    packet,
                    release,
                } => {
                    self.metrics.forwarded.inc();
                    self.outgoing.send(&packet, self.backend);
                    if let Some(release) = release {
                        self.metrics.held.record(release);
                        let report = self.tracker.report(self.clock.now());
                        self.log.released(key, release, report);
                    }
                }
                TrackerAction::Redirect {
                    key,
                    to,
                    header,
                    stored,
                    cause,
                } => {
                    NodeMetrics::count(&self.metrics.redirected, cause.name());
                    self.log.redirected(key, to, &header, cause);
                    let packet = stored.unwrap_or_else(|| bytes.clone());
                    self.packets.send(&encode_forward(&header, packet), to);
                }
                // Already sent by `read_backend`.
                TrackerAction::ToCaller => {}
                TrackerAction::ResponseStarted(key, time) => {
                    self.metrics.response_time.observe(time.0 as f64 / 1_000.0);
                    self.log.response_started(key, time);
                    self.spans.end_request(key);
                }
                TrackerAction::Refuse(key, cause) => {
                    NodeMetrics::count(&self.metrics.refused, cause.name());
                    let report = self.tracker.report(self.clock.now());
                    let refused = Some(retransmission_of(bytes));
                    self.log
                        .not_delivered(key, cause, refused, self.forwards_wait(), report);
                    let to = self.caller_port(key);
                    self.packets.send(&reset_packet(key, 0), to);
                }
                TrackerAction::Reset(key, sequence, cause) => {
                    NodeMetrics::count(&self.metrics.refused, "lost");
                    self.log.reset(key, cause);
                    let to = self.caller_port(key);
                    self.packets.send(&reset_packet(key, sequence), to);
                }
                TrackerAction::AnnounceOwner(to, key) => self.announce_owner(to, key),
                TrackerAction::Drop(key, cause) => {
                    NodeMetrics::count(&self.metrics.dropped, cause.name());
                    let report = self.tracker.report(self.clock.now());
                    self.log
                        .not_delivered(key, cause, None, self.forwards_wait(), report);
                }
            }
        }
    }

    /// Returns the longest time for which a packet of a caller that is read now may have waited.
    fn forwards_wait(&self) -> Millis {
        self.clock.now().since(self.packets.drained_at())
    }

    fn caller_port(&self, key: FlowKey) -> SocketAddrV4 {
        SocketAddrV4::new(*key.caller.ip(), self.address.port())
    }

    fn announce_owner(&mut self, to: SocketAddrV4, key: FlowKey) {
        let owner = FlowDatagram::encode_body(FlowBody::Owner(FlowOwner {
            agent: address_to_number(self.address),
            caller: address_to_number(key.caller),
            service: address_to_number(key.service_address),
        }));
        self.packets.send(&owner, to);
    }

    /// Carries out the actions that the tracker decides without a packet.
    fn run_tracker(&mut self, decide: impl FnOnce(&mut FlowTracker, &mut Vec<TrackerAction>)) {
        let mut actions = std::mem::take(&mut self.actions);
        decide(&mut self.tracker, &mut actions);
        self.act(&mut actions, &Bytes::new());
        self.actions = actions;
    }

    fn check_openings(&mut self) {
        let now = self.clock.now();
        self.run_tracker(|tracker, actions| {
            tracker.check_openings(now, actions);
            tracker.send_held(now, actions);
        });
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.outgoing.check_drained(now);
        self.packets.check_drained(now);
        let unsent = self.packets.unsent + self.outgoing.unsent;
        self.metrics
            .unsent
            .set(i64::try_from(unsent).unwrap_or(i64::MAX));
        let report = self.tracker.report(now);
        self.metrics.busy.set(i64::from(report.busy));
        self.metrics.held.queued.set(i64::from(report.queued));
        self.metrics
            .revision
            .set(i64::try_from(report.revision).unwrap_or(i64::MAX));
        self.tracker.expire(now);
        self.announce_long_flows(now);
        self.reporter
            .tick(&mut self.tracker, &mut self.packets, now);
        if self.shutdown_answer.is_some() && self.tracker.open_flows() == 0 {
            if let Some(answer) = self.shutdown_answer.take() {
                // The control thread may have stopped waiting.
                let _ = answer.send(());
            }
        }
    }

    fn note_balancer(&mut self, balancer: SocketAddrV4, now: Millis) {
        self.reporter
            .note_balancer(balancer, &mut self.tracker, &mut self.packets, now);
    }

    fn report_change(&mut self, now: Millis) {
        self.reporter
            .report_change(&mut self.tracker, &mut self.packets, now);
    }
}

/// Returns which retransmission of the opening packet this is; zero for the first copy.
fn retransmission_of(bytes: &[u8]) -> u8 {
    match decode_caller_packet(bytes).map(|packet| packet.kind) {
        Ok(PacketKind::Open { retransmission }) => retransmission,
        _ => 0,
    }
}
