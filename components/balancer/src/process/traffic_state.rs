//! State and decisions of one traffic thread.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Instant, //
};

use carobdrum_control::ProcessClock;
use carobdrum_core::{
    connection::{
        FlowId,
        PathAction, //
    },
    version::ServiceId,
    Millis, //
};
use carobdrum_telemetry::{
    hop_span,
    HopKind,
    TraceContext,
    HOP_TARGET, //
};
use carobdrum_wire::{
    DatagramKind,
    PacketHeader,
    SecondCandidate,
    TunnelHeader,
    TunnelKey,
    TunnelOpener,
    TunnelSealer, //
};
use compact_str::ToCompactString;
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use tokio::sync::mpsc;
use tracing::info;

use super::BalancerMetrics;
use crate::{
    connection::{
        reset_packet,
        DropReason,
        PathTable,
        RouteDecision,
        SendBatch, //
    },
    ForwardPlan,
};

/// Maximum number of senders whose keys are cached for checking datagrams.
const MAX_SENDERS: usize = 16_384;
/// Maximum number of stateless resets per second and thread, so that a flood of packets doesn't
/// cause a flood of resets.
const RESETS_PER_SECOND: u32 = 1_000;
/// Shortest interval of notices of agents that aren't targets.
const AGENT_NOTICE_INTERVAL: Millis = Millis(500);

/// Notice from a traffic thread to the control thread.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TrafficNotice {
    /// A version newer than the one in force exists.
    NewerVersion {
        /// Number of that version.
        number: u32,
        /// Control address of a process that has it in force.
        peer: SocketAddrV4,
    },
    /// The agent at this address owns an established flow and isn't a target of new ones.
    AgentSeen(SocketAddrV4),
}

/// State of one traffic thread. It decides about datagrams but doesn't send or receive them.
pub(crate) struct TrafficState {
    plan: Arc<ForwardPlan>,
    control_port: u16,
    sealer: TunnelSealer,
    opener: TunnelOpener,
    paths: PathTable,
    clock: ProcessClock,
    now: Millis,
    metrics: BalancerMetrics,
    notice_sender: mpsc::Sender<TrafficNotice>,
    next_agent_notice: Millis,
    random: SmallRng,
    resets_remaining: u32,
    resets_refilled_at: Instant,
}

impl TrafficState {
    /// Creates the state of a thread with a random sender ID.
    pub(crate) fn new(
        key: &TunnelKey,
        control_port: u16,
        metrics: BalancerMetrics,
        notice_sender: mpsc::Sender<TrafficNotice>,
    ) -> TrafficState {
        let clock = ProcessClock::start();
        TrafficState {
            plan: Arc::new(ForwardPlan::default()),
            control_port,
            sealer: TunnelSealer::new(key, rand::random()),
            opener: TunnelOpener::new(key.clone(), MAX_SENDERS),
            paths: PathTable::new(clock.now()),
            now: clock.now(),
            clock,
            metrics,
            notice_sender,
            next_agent_notice: Millis(0),
            random: SmallRng::from_os_rng(),
            resets_remaining: RESETS_PER_SECOND,
            resets_refilled_at: Instant::now(),
        }
    }

    pub(crate) fn set_plan(&mut self, plan: Arc<ForwardPlan>) {
        self.plan = plan;
    }

    /// Reads the clock, once per batch; the datagrams that follow are handled with this time.
    pub(crate) fn set_time(&mut self) {
        self.now = self.clock.now();
    }

    pub(crate) fn plan(&self) -> &Arc<ForwardPlan> {
        &self.plan
    }

    /// Handles a datagram that a caller sent to the service address `address`.
    ///
    /// Datagrams for agents are added to `tunnel`, those for the caller to `responses`.
    pub(crate) fn handle_caller(
        &mut self,
        address: SocketAddrV4,
        service: ServiceId,
        caller: SocketAddrV4,
        packet: &[u8],
        tunnel: &mut SendBatch,
        responses: &mut SendBatch,
    ) {
        let (agent, second) = match self.plan.route(service, packet) {
            RouteDecision::Established(agent) => {
                self.metrics.forwarded.inc();
                self.report_unknown_agent(service, agent);
                (agent, None)
            }
            RouteDecision::Placed { first, second } => {
                self.metrics.placed.inc();
                trace_placement(service, packet, first);
                (first, second)
            }
            RouteDecision::Evacuated(flow) => {
                self.metrics.drop(DropReason::TakenOut);
                self.reset(&flow, caller, packet.len(), responses);
                return;
            }
            RouteDecision::Drop(reason) => {
                self.metrics.drop(reason);
                return;
            }
        };
        let header = TunnelHeader {
            service,
            version: self.plan.number,
            caller,
            service_address: address,
            control_port: self.control_port,
            second: second.map(|agent| SecondCandidate {
                agent,
                load: self.paths.load_of(agent),
            }),
            ..TunnelHeader::new(DatagramKind::Forward)
        };
        let (port, action) = self.paths.send(self.now, agent);
        self.sealer.seal(&header, packet, tunnel.buffer());
        tunnel.commit(port, agent);
        match action {
            PathAction::Nothing => {}
            PathAction::Ping => {
                self.metrics.pings.inc();
                let ping = TunnelHeader {
                    version: self.plan.number,
                    control_port: self.control_port,
                    ..TunnelHeader::new(DatagramKind::Ping)
                };
                self.sealer.seal(&ping, &[], tunnel.buffer());
                tunnel.commit(port, agent);
            }
            PathAction::ChangePort => {
                info!(%agent, port, "silent path moved to another source port");
                self.metrics.moved_paths.inc();
            }
        }
    }

    /// Handles a tunnel datagram that arrived at `port`. Datagrams for callers are added to
    /// `responses`.
    pub(crate) fn handle_tunnel(
        &mut self,
        port: u16,
        source: SocketAddrV4,
        datagram: &[u8],
        responses: &mut SendBatch,
    ) {
        let (header, payload) = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                self.metrics.drop(error.into());
                return;
            }
        };
        self.report_newer_version(source, &header);
        match header.kind {
            DatagramKind::Response => self.paths.receive(source, port, header.load),
            DatagramKind::Pong => {
                self.paths.receive(source, port, header.load);
                return;
            }
            _ => {
                self.metrics.drop(DropReason::UnexpectedKind);
                return;
            }
        }
        let found = self
            .plan
            .addresses
            .binary_search_by_key(&header.service_address, |entry| entry.address);
        match found {
            Ok(index) if self.plan.addresses[index].service == header.service => {
                responses.buffer().extend_from_slice(payload);
                responses.commit(index as u16, header.caller);
                self.metrics.response_datagrams.inc();
            }
            _ => self.metrics.drop(DropReason::NoAddress),
        }
    }

    /// Notifies the control thread of a newer version. If its queue is full, a later datagram
    /// repeats the notice.
    fn report_newer_version(&mut self, source: SocketAddrV4, header: &TunnelHeader) {
        if header.version > self.plan.number {
            let peer = SocketAddrV4::new(*source.ip(), header.control_port);
            let number = header.version;
            let _ = self
                .notice_sender
                .try_send(TrafficNotice::NewerVersion { number, peer });
        }
    }

    /// Notifies the control thread of an agent that isn't a target of new flows, at most once per
    /// [`AGENT_NOTICE_INTERVAL`]: the balancer may not know it as a member.
    fn report_unknown_agent(&mut self, service: ServiceId, agent: SocketAddrV4) {
        if self.now < self.next_agent_notice || self.plan.has_target(service, agent) {
            return;
        }
        self.next_agent_notice = self.now.plus(AGENT_NOTICE_INTERVAL);
        let _ = self.notice_sender.try_send(TrafficNotice::AgentSeen(agent));
    }

    fn reset(
        &mut self,
        flow: &FlowId,
        caller: SocketAddrV4,
        trigger_len: usize,
        responses: &mut SendBatch,
    ) {
        if self.resets_refilled_at.elapsed().as_secs() >= 1 {
            self.resets_remaining = RESETS_PER_SECOND;
            self.resets_refilled_at = Instant::now();
        }
        let Some(keys) = &self.plan.keys else {
            return;
        };
        if self.resets_remaining == 0 {
            return;
        }
        if let Some(packet) = reset_packet(keys, flow, trigger_len, &mut self.random) {
            self.resets_remaining -= 1;
            self.metrics.resets.inc();
            responses.buffer().extend_from_slice(&packet);
            responses.commit(0, caller);
        }
    }
}

/// Records a tracing span for the placement of a flow's first packet. It belongs to the same trace
/// as the agent's span, because both derive the trace ID from the packet's connection ID.
fn trace_placement(service: ServiceId, packet: &[u8], agent: SocketAddrV4) {
    if !tracing::enabled!(target: HOP_TARGET, tracing::Level::DEBUG) {
        return;
    }
    if let Some(head) = PacketHeader::parse(packet) {
        let trace = TraceContext::from_flow(head.id());
        let target = agent.to_compact_string();
        // Traffic threads know the numbers of services, not their names.
        let service = service.0.to_compact_string();
        hop_span(HopKind::Balancer, &trace, &service, &target).in_scope(|| {});
    }
}
