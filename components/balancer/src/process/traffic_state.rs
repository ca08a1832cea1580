//! State of one traffic thread.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Instant, //
};

use carobdrum_core::version::ServiceId;
use carobdrum_wire::{
    DatagramKind,
    SecondCandidate,
    TunnelHeader,
    TunnelKey,
    TunnelOpener,
    TunnelSealer, //
};
use rand::{
    rngs::SmallRng,
    SeedableRng, //
};
use tokio::sync::mpsc;

use super::BalancerMetrics;
use crate::{
    connection::{
        reset_packet,
        DropReason,
        RouteVerdict,
        SendBatch, //
    },
    ForwardPlan,
};

/// Agents whose datagrams are checked with a cached key.
const MAX_SENDERS: usize = 16_384;
/// Stateless resets sent a second by one thread, so that a flood isn't answered in kind.
const RESETS_PER_SECOND: u32 = 1_000;

/// News from a traffic thread to the control thread.
#[derive(Clone, Copy, Debug)]
pub(crate) struct NumberSeen {
    /// Number of a version newer than the one in force.
    pub(crate) number: u32,
    /// Control address of the process that has it.
    pub(crate) peer: SocketAddrV4,
}

/// Load of an agent's server, as reported on answers.
struct AgentLoad {
    agent: SocketAddrV4,
    load: u8,
}

/// State of one traffic thread.
pub(crate) struct TrafficState {
    plan: Arc<ForwardPlan>,
    control_port: u16,
    sealer: TunnelSealer,
    opener: TunnelOpener,
    loads: Vec<AgentLoad>,
    metrics: BalancerMetrics,
    news: mpsc::Sender<NumberSeen>,
    random: SmallRng,
    resets_left: u32,
    resets_refilled: Instant,
}

impl TrafficState {
    /// Creates the state of a thread, with a random sender identity.
    pub(crate) fn new(
        key: &TunnelKey,
        control_port: u16,
        metrics: BalancerMetrics,
        news: mpsc::Sender<NumberSeen>,
    ) -> TrafficState {
        TrafficState {
            plan: Arc::new(ForwardPlan::default()),
            control_port,
            sealer: TunnelSealer::new(key, rand::random()),
            opener: TunnelOpener::new(key.clone(), MAX_SENDERS),
            loads: Vec::new(),
            metrics,
            news,
            random: SmallRng::from_os_rng(),
            resets_left: RESETS_PER_SECOND,
            resets_refilled: Instant::now(),
        }
    }

    /// Replaces the plan.
    pub(crate) fn set_plan(&mut self, plan: Arc<ForwardPlan>) {
        self.plan = plan;
    }

    /// Returns the plan.
    pub(crate) fn plan(&self) -> &Arc<ForwardPlan> {
        &self.plan
    }

    /// Handles a caller's datagram that came for `address`.
    ///
    /// What goes to agents is added to `tunnel`, what goes back to the caller to `answers`.
    pub(crate) fn handle_caller(
        &mut self,
        address: SocketAddrV4,
        service: ServiceId,
        caller: SocketAddrV4,
        packet: &[u8],
        tunnel: &mut SendBatch,
        answers: &mut SendBatch,
    ) {
        let (agent, second) = match self.plan.route(service, packet) {
            RouteVerdict::Owned(agent) => {
                self.metrics.forwarded.inc();
                (agent, None)
            }
            RouteVerdict::Placed { first, second } => {
                self.metrics.placed.inc();
                (first, second)
            }
            RouteVerdict::TakenOut(flow) => {
                self.metrics.drop(DropReason::TakenOut);
                self.reset(&flow, caller, packet.len(), answers);
                return;
            }
            RouteVerdict::Drop(reason) => {
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
                load: self.load_of(agent),
            }),
            ..TunnelHeader::new(DatagramKind::Forward)
        };
        self.sealer.seal(&header, packet, tunnel.buffer());
        tunnel.commit(0, agent);
    }

    /// Handles a datagram from another process and adds what goes to callers to `answers`.
    pub(crate) fn handle_tunnel(
        &mut self,
        source: SocketAddrV4,
        datagram: &[u8],
        answers: &mut SendBatch,
    ) {
        let (header, payload) = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                self.metrics.drop(error.into());
                return;
            }
        };
        self.note_version(source, &header);
        if header.kind != DatagramKind::Answer {
            self.metrics.drop(DropReason::UnexpectedKind);
            return;
        }
        self.note_load(source, header.load);
        let found = self
            .plan
            .addresses
            .binary_search_by_key(&header.service_address, |entry| entry.address);
        match found {
            Ok(index) if self.plan.addresses[index].service == header.service => {
                answers.buffer().extend_from_slice(payload);
                answers.commit(index as u16, header.caller);
                self.metrics.answered.inc();
            }
            _ => self.metrics.drop(DropReason::NoAddress),
        }
    }

    /// Tells the control thread of a newer version; a full queue only delays the news.
    fn note_version(&mut self, source: SocketAddrV4, header: &TunnelHeader) {
        if header.version > self.plan.number {
            let peer = SocketAddrV4::new(*source.ip(), header.control_port);
            let number = header.version;
            let _ = self.news.try_send(NumberSeen { number, peer });
        }
    }

    fn note_load(&mut self, agent: SocketAddrV4, load: u8) {
        match self.loads.binary_search_by_key(&agent, |entry| entry.agent) {
            Ok(index) => self.loads[index].load = load,
            Err(index) => self.loads.insert(index, AgentLoad { agent, load }),
        }
    }

    fn load_of(&self, agent: SocketAddrV4) -> u8 {
        let found = self.loads.binary_search_by_key(&agent, |entry| entry.agent);
        found.map_or(0, |index| self.loads[index].load)
    }

    fn reset(
        &mut self,
        flow: &carobdrum_core::connection::FlowId,
        caller: SocketAddrV4,
        trigger_len: usize,
        answers: &mut SendBatch,
    ) {
        if self.resets_refilled.elapsed().as_secs() >= 1 {
            self.resets_left = RESETS_PER_SECOND;
            self.resets_refilled = Instant::now();
        }
        let Some(keys) = &self.plan.keys else {
            return;
        };
        if self.resets_left == 0 {
            return;
        }
        if let Some(packet) = reset_packet(keys, flow, trigger_len, &mut self.random) {
            self.resets_left -= 1;
            self.metrics.resets.inc();
            answers.buffer().extend_from_slice(&packet);
            answers.commit(0, caller);
        }
    }
}
