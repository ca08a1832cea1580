//! Traffic thread of a balancer.

mod ended_agents;
mod lost_flows;

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        AgentRecord,
        LostFlowSearch,
        MemberUpdate, //
    },
    version::SiteConfig,
    FlowKey,
    FlowRouter,
    RouteAction, //
};
use carobdrum_platform::{
    decode_caller_packet,
    reset_packet, //
};
use carobdrum_telemetry::HopKind;
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    ReportProbe,
    ServerReport, //
};
use prost::Message;
use tokio::{
    sync::{
        mpsc::{
            Receiver,
            Sender, //
        },
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
    flow_log::FlowLog,
    header_codec::{
        decode_owner,
        encode_forward, //
    },
    hop_spans::HopSpans,
    peer_revision::{
        revision_and_era,
        PeerRevisions, //
    },
    report_codec::decode_report,
    udp_endpoint::{
        UdpEndpoint,
        READ_BATCH, //
    },
    HandedOver,
};
use crate::process::{
    BootClock,
    NodeError,
    NodeMetrics, //
};

/// Interval between probes of agents.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a packet after which the owner of a flow is forgotten before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(15_000);

/// Message of the control thread to the traffic thread of a balancer.
#[derive(Debug)]
pub(crate) enum BalancerUpdate {
    /// The complete list of agents from the store.
    Agents(Vec<AgentRecord>),
    /// An agent has written its store entry, at this revision.
    Agent(AgentRecord, u64),
    /// The store entry of an agent has expired.
    Expired(SocketAddrV4),
    /// What was read of the agents' registrations.
    Members(MemberUpdate),
    /// Probes an agent whose entry is missing; the reply tells whether it has answered an earlier packet.
    ProbeAbsent(SocketAddrV4, oneshot::Sender<bool>),
}

/// State of a balancer's traffic thread: its sockets and routing state.
#[derive(Debug)]
pub(crate) struct BalancerTraffic {
    clock: BootClock,
    /// Publishes the revisions of other processes.
    peers: PeerRevisions,
    /// Publishes the time for which a new list of agents is wanted from the store.
    listing_wanted: watch::Sender<Option<Millis>>,
    /// Tells the control thread of the deletions that agents hand over.
    handed_over: Sender<HandedOver>,
    router: FlowRouter,
    search: LostFlowSearch,
    address: SocketAddrV4,
    callers: UdpEndpoint,
    agents: UdpEndpoint,
    metrics: NodeMetrics,
    log: FlowLog,
    spans: HopSpans,
}

impl BalancerTraffic {
    /// Opens the sockets: `packets` for callers, the address of `router` for agents.
    pub(crate) async fn open(
        packets: SocketAddrV4,
        router: FlowRouter,
        peers: PeerRevisions,
        listing_wanted: watch::Sender<Option<Millis>>,
        handed_over: Sender<HandedOver>,
        metrics: NodeMetrics,
    ) -> Result<BalancerTraffic, NodeError> {
        let address = router.address();
        Ok(BalancerTraffic {
            clock: BootClock,
            peers,
            listing_wanted,
            handed_over,
            search: LostFlowSearch::new(router.options.reset_lost, rand::random()),
            router,
            address,
            callers: UdpEndpoint::open(packets).await?,
            agents: UdpEndpoint::open(address).await?,
            metrics,
            log: FlowLog::new(),
            spans: HopSpans::default(),
        })
    }

    /// Forwards packets until the control thread has ended.
    pub(crate) async fn run(
        mut self,
        mut updates: Receiver<BalancerUpdate>,
        mut config: watch::Receiver<Option<Arc<SiteConfig>>>,
    ) -> Result<(), NodeError> {
        let mut ticks = interval(PROBE_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let next_search = self.search.next_tick();
            let wait = next_search.map_or(Millis(0), |due| due.since(self.clock.now()));
            let search_due = Instant::now() + Duration::from_millis(wait.0);
            tokio::select! {
                _ = self.callers.readable() => self.read_callers(),
                _ = self.agents.readable() => self.read_agents(),
                update = updates.recv() => match update {
                    Some(update) => self.apply(update),
                    None => return Ok(()),
                },
                changed = config.changed() => match changed {
                    Ok(()) => self.router.config = config.borrow_and_update().clone(),
                    Err(_) => return Ok(()),
                },
                () = sleep_until(search_due), if next_search.is_some() => self.check_searches(),
                _ = ticks.tick() => self.tick(),
            }
        }
    }

    fn apply(&mut self, update: BalancerUpdate) {
        let now = self.clock.now();
        match update {
            BalancerUpdate::Agents(records) => self.router.agents.replace(records, now),
            BalancerUpdate::Agent(record, revision) => {
                let address = record.address;
                self.router.agents.insert(record, now);
                self.router.agents.note_written(address, revision);
            }
            BalancerUpdate::Expired(address) => self.router.agents.mark_expired(address, now),
            BalancerUpdate::ProbeAbsent(agent, answer) => {
                // The control thread may have ended.
                let _ = answer.send(self.router.agents.contains(agent));
                self.send_probe(agent);
            }
            BalancerUpdate::Members(update) => {
                for agent in self.router.agents.apply_members(update, now) {
                    info!(%agent, "agent counts as gone: its entry is missing");
                }
            }
        }
        self.probe(now);
    }

    fn read_callers(&mut self) {
        let now = self.clock.now();
        for _ in 0..READ_BATCH {
            let Some((bytes, from)) = self.callers.receive(now) else {
                return;
            };
            let packet = match decode_caller_packet(bytes) {
                Ok(packet) => packet,
                Err(error) => {
                    self.metrics.malformed.inc();
                    self.log.malformed(error, from);
                    continue;
                }
            };
            let bytes = Bytes::copy_from_slice(bytes);
            self.note_caller_packet(&packet);
            let action = self
                .router
                .route_late(&packet, self.callers.drained_at(), now);
            if let Some(spilled) = self.router.take_spilled() {
                self.metrics.spilled.inc();
                self.log.spilled(&spilled);
            }
            self.act(action, packet.key, packet.is_open(), bytes);
        }
    }

    fn act(&mut self, action: RouteAction, key: FlowKey, opens: bool, bytes: Bytes) {
        match action {
            RouteAction::Forward { to, header } => {
                if opens {
                    self.metrics.opened.inc();
                    self.log.forwarded(key, to, &header);
                    self.spans.record_hop(HopKind::Balancer, key, to);
                } else {
                    self.metrics.forwarded.inc();
                }
                let datagram = encode_forward(&header, bytes);
                self.agents.send(&datagram, to);
                self.router.recycle(header);
            }
            RouteAction::Refuse(cause) => {
                NodeMetrics::count(&self.metrics.refused, cause.name());
                self.log.refused(key, cause, self.revision());
                self.reset_caller(key, 0);
            }
            RouteAction::Drop(cause) => {
                NodeMetrics::count(&self.metrics.dropped, cause.name());
                self.log.dropped(key, cause, self.revision());
            }
        }
    }

    fn revision(&self) -> u64 {
        self.router
            .config
            .as_ref()
            .map_or(0, |config| config.revision)
    }

    /// Sends the reset of a flow to its caller. `sequence` is the number that the caller expects.
    fn reset_caller(&mut self, key: FlowKey, sequence: u32) {
        let to = SocketAddrV4::new(*key.caller.ip(), self.callers.port());
        self.callers.send(&reset_packet(key, sequence), to);
    }

    fn read_agents(&mut self) {
        let now = self.clock.now();
        for _ in 0..READ_BATCH {
            let Some((bytes, from)) = self.agents.receive(now) else {
                return;
            };
            let body = FlowDatagram::decode(&*bytes)
                .ok()
                .and_then(|read| read.body);
            match body {
                Some(FlowBody::Report(report)) => {
                    let revision = self.peers.order(report.era, report.revision);
                    self.peers.raise(revision, *from.ip());
                    self.handle_report(&report, revision, now);
                }
                Some(FlowBody::Owner(owner)) => {
                    let (key, agent) = decode_owner(&owner);
                    self.router.owners.insert(key, agent, now);
                    self.note_alive(agent);
                    self.note_owner(key, agent, now);
                }
                Some(FlowBody::NotFound(not_found)) => self.search_flow(not_found, now),
                Some(FlowBody::QueryReply(reply)) => self.handle_query_reply(from, reply, now),
                Some(FlowBody::RegistrationEnded(message)) => self.take_over(from, &message),
                _ => debug!(%from, "datagram dropped: not for a balancer"),
            }
        }
    }

    /// Applies the report of an agent whose configuration has the order number `revision`.
    fn handle_report(&mut self, report: &ServerReport, revision: u64, now: Millis) {
        let agent = address_from_number(report.agent);
        self.discover(agent, report, now);
        let reported = decode_report(report);
        let state = reported.clamped();
        if state != reported {
            self.log.clamped(agent, &reported);
        }
        let changed = self.router.agents.apply_report(agent, state, now);
        self.note_alive(agent);
        if revision < self.revision() {
            self.send_probe(agent);
        }
        if changed == Some(true) {
            info!(
                %agent,
                accepts = report.accepts,
                busy = report.busy,
                failing_percent = report.failure_percent,
                "agent changed"
            );
        }
    }

    /// Adds an agent that isn't known yet, such as after a start without the store.
    fn discover(&mut self, agent: SocketAddrV4, report: &ServerReport, now: Millis) {
        let record = AgentRecord {
            address: agent,
            centre: report.centre.as_str().into(),
            service: report.service.as_str().into(),
            is_leaving: false,
        };
        if self.router.agents.discover(record, now) {
            info!(%agent, service = report.service, "agent discovered by its report");
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.callers.check_drained(now);
        let unsent = self.callers.unsent + self.agents.unsent;
        NodeMetrics::set(&self.metrics.unsent, unsent);
        self.metrics.set_revision(self.revision());
        NodeMetrics::set(&self.metrics.agents, self.router.agents.len() as u64);
        let config = self.router.config.as_ref();
        let idle_timeout = config.map_or(DEFAULT_IDLE_TIMEOUT, |config| config.idle_timeout);
        self.router.owners.expire(now, idle_timeout);
        for agent in self.router.agents.expire(now) {
            info!(%agent, "agent removed: store entry expired and no answer");
        }
        self.update_weights(now);
        self.expire_absent(now);
        self.probe(now);
    }

    fn update_weights(&mut self, now: Millis) {
        self.router.update_weights(now);
        for change in self.router.weight_changes() {
            self.log.weighed(change);
        }
        for index in 0..self.router.load_probes().len() {
            self.send_probe(self.router.load_probes()[index]);
        }
    }

    /// Probes agents for a report. New agents are probed at once, so that few packets are sent to a
    /// dead one.
    fn probe(&mut self, now: Millis) {
        for agent in self.router.agents.next_probes(now) {
            self.send_probe(agent);
        }
    }

    /// Sends a probe, which also shows the agent the revision in force here.
    fn send_probe(&mut self, agent: SocketAddrV4) {
        let (revision, era) = revision_and_era(self.revision());
        let probe = FlowDatagram::encode_body(FlowBody::Probe(ReportProbe {
            balancer: address_to_number(self.address),
            revision,
            era,
        }));
        self.agents.send(&probe, agent);
    }
}
