//! Traffic thread of an agent.

mod early_copies;
mod former_flows;
mod received_packets;
mod tracker_actions;

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use carobdrum_control::unix_millis;
use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::ResendLimits,
    process::HeartbeatOutcome,
    version::SiteConfig,
    FlowTracker,
    TrackerAction,
    TrackerSettings, //
};
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

use early_copies::EarlyCopies;

use super::{
    agent_reporter::AgentReporter,
    agent_update::{
        AgentUpdate,
        BackendOutcome, //
    },
    flow_log::FlowLog,
    hop_spans::HopSpans,
    peer_revision::PeerRevisions,
    udp_endpoint::UdpEndpoint, //
};
use crate::process::{
    BootClock,
    NodeError,
    NodeMetrics, //
};

/// Interval between checks for expired state and pending reports.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Wait while no opening packet, held request or unacknowledged packet has a deadline.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

/// State of an agent's traffic thread: its sockets and flows.
#[derive(Debug)]
pub(crate) struct AgentTraffic {
    clock: BootClock,
    /// Publishes the revisions of other processes.
    peers: PeerRevisions,
    tracker: FlowTracker,
    address: SocketAddrV4,
    backend: SocketAddrV4,
    packets: UdpEndpoint,
    outgoing: UdpEndpoint,
    reporter: AgentReporter,
    actions: Vec<TrackerAction>,
    copies: EarlyCopies,
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
        limits: ResendLimits,
        backend: SocketAddrV4,
        outgoing: SocketAddrV4,
        peers: PeerRevisions,
        metrics: NodeMetrics,
    ) -> Result<AgentTraffic, NodeError> {
        let address = settings.address;
        Ok(AgentTraffic {
            tracker: FlowTracker::new(settings, unix_millis(), BootClock.now()),
            clock: BootClock,
            peers,
            address,
            backend,
            packets: UdpEndpoint::open(address).await?,
            outgoing: UdpEndpoint::open(outgoing).await?,
            reporter: AgentReporter::new(address),
            actions: Vec::new(),
            copies: EarlyCopies::new(limits, metrics.resend.clone(), BootClock.now()),
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
        let former = self.tracker.next_former_reset(now);
        let copies = self.copies.next_deadline();
        let due = [opening, held, former, copies].into_iter().flatten().min();
        due.map_or(IDLE_WAIT, |due| Duration::from_millis(due.since(now).0))
    }

    fn apply(&mut self, update: AgentUpdate) {
        let now = self.clock.now();
        match update {
            AgentUpdate::Settings(settings, limits) => {
                self.tracker.set_settings(settings, now);
                self.copies.set_limits(limits, now);
            }
            AgentUpdate::Heartbeat(heartbeat, sent, answer) => {
                self.tracker.note_clock(unix_millis(), now);
                let outcome = self.tracker.handle_late_heartbeat(heartbeat, sent, now);
                // The requester may have stopped waiting.
                let _ = answer.send(self.backend_outcome(outcome, now));
                if !self.tracker.is_leaving() {
                    self.reporter.hand_over(None, &mut self.packets, now);
                }
                self.reset_lost_flows();
                self.settle_former_flows(now);
            }
            AgentUpdate::Deregister(id, answer) => {
                let outcome = if self.tracker.deregister(&id, now) {
                    HeartbeatOutcome::Continued
                } else {
                    HeartbeatOutcome::Stale
                };
                let _ = answer.send(self.backend_outcome(outcome, now));
            }
            AgentUpdate::Stop(answer) => {
                self.tracker.stop();
                self.shutdown_answer = Some(answer);
            }
            AgentUpdate::FindSilence(answer) => {
                let _ = answer.send(self.tracker.server_silence(now));
                return;
            }
            AgentUpdate::FormerFlows(list, expires) => {
                self.tracker.set_former_flows(list, expires);
                self.settle_former_flows(now);
            }
            AgentUpdate::FindLongFlows(answer) => {
                let _ = answer.send(self.tracker.long_flows(unix_millis(), now));
                return;
            }
            AgentUpdate::EndedIn(silence) => {
                if self.tracker.note_ended_in(silence) {
                    self.reset_lost_flows();
                }
            }
            AgentUpdate::HandOver(revision) => {
                self.reporter.hand_over(revision, &mut self.packets, now);
                return;
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

    fn backend_outcome(&self, outcome: HeartbeatOutcome, now: Millis) -> BackendOutcome {
        BackendOutcome {
            outcome,
            knows_all_flows: self.tracker.knows_all_flows(now),
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

    fn check_openings(&mut self) {
        let now = self.clock.now();
        self.run_tracker(|tracker, actions| {
            tracker.check_openings(now, actions);
            tracker.send_held(now, actions);
        });
        self.reset_former_flows(now);
        self.send_copies();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.outgoing.check_drained(now);
        self.packets.check_drained(now);
        let unsent = self.packets.unsent + self.outgoing.unsent;
        NodeMetrics::set(&self.metrics.unsent, unsent);
        let report = self.tracker.report(now);
        self.metrics.busy.set(i64::from(report.busy));
        self.metrics.held.queued.set(i64::from(report.queued));
        self.metrics.set_revision(report.revision);
        self.tracker.expire(now);
        self.settle_former_flows(now);
        self.copies.expire(&self.tracker, now);
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

    fn note_balancer(&mut self, balancer: SocketAddrV4, centre: Option<u32>, now: Millis) {
        self.reporter
            .note_balancer(balancer, centre, &mut self.tracker, &mut self.packets, now);
    }

    fn report_change(&mut self, now: Millis) {
        self.reporter
            .report_change(&mut self.tracker, &mut self.packets, now);
    }
}
