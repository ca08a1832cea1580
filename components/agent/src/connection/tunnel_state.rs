//! Decisions about tunnel datagrams that arrive at the agent.

use std::{
    net::SocketAddrV4,
    sync::Arc, //
};

use carobdrum_core::version::ServiceId;
use carobdrum_wire::{
    DatagramKind,
    PacketHeader,
    TunnelHeader,
    TunnelKey,
    TunnelOpener,
    TunnelSealer, //
};
use tokio::sync::mpsc;

use super::{
    CallerRoute,
    CallerTable,
    RedirectTable, //
};
use crate::process::{
    AgentMetrics,
    AgentShared,
    DropReason, //
};

/// Maximum number of senders whose keys are cached for checking datagrams.
const MAX_SENDERS: usize = 4_096;
/// Maximum number of callers in the caller table: twice the connections of the largest pool, with
/// room for handshakes.
const MAX_CALLERS: usize = 8_192;

/// A datagram for the control thread. Without a payload, only the version number in its header
/// counts.
pub(crate) struct ControlDatagram {
    pub(crate) source: SocketAddrV4,
    pub(crate) header: TunnelHeader,
    pub(crate) payload: Vec<u8>,
}

/// Action to take for a datagram.
pub(crate) enum TunnelAction<'a> {
    /// Deliver it to the QUIC endpoint.
    Deliver {
        caller: SocketAddrV4,
        service_address: SocketAddrV4,
        payload: &'a [u8],
    },
    /// Send `TunnelState::outgoing` to this address.
    Reply(SocketAddrV4),
    /// Nothing remains to be done.
    Done,
}

/// State of the agent's tunnel.
pub(crate) struct TunnelState {
    shared: Arc<AgentShared>,
    sealer: TunnelSealer,
    opener: TunnelOpener,
    callers: CallerTable,
    redirects: RedirectTable,
    control: mpsc::Sender<ControlDatagram>,
    metrics: AgentMetrics,
    /// The most recently sealed datagrams.
    pub(crate) outgoing: Vec<u8>,
}

impl TunnelState {
    /// Creates the state with a random sender ID.
    pub(crate) fn new(
        key: &TunnelKey,
        shared: Arc<AgentShared>,
        control: mpsc::Sender<ControlDatagram>,
        metrics: AgentMetrics,
    ) -> TunnelState {
        TunnelState {
            shared,
            sealer: TunnelSealer::new(key, rand::random()),
            opener: TunnelOpener::new(key.clone(), MAX_SENDERS),
            callers: CallerTable::new(MAX_CALLERS),
            redirects: RedirectTable::new(),
            control,
            metrics,
            outgoing: Vec::new(),
        }
    }

    /// Decides what to do with a datagram received from `source`.
    pub(crate) fn handle<'a>(
        &mut self,
        source: SocketAddrV4,
        datagram: &'a [u8],
    ) -> TunnelAction<'a> {
        let (header, payload) = match self.opener.open(datagram) {
            Ok(opened) => opened,
            Err(error) => {
                self.metrics.drop(error.into());
                return TunnelAction::Done;
            }
        };
        self.report_newer_version(source, &header);
        match header.kind {
            DatagramKind::Forward => self.handle_forward(source, &header, payload),
            DatagramKind::Redirected => self.deliver(source, &header, payload),
            DatagramKind::Ping => {
                let pong = self.own_header(DatagramKind::Pong);
                self.outgoing.clear();
                self.sealer.seal(&pong, &[], &mut self.outgoing);
                TunnelAction::Reply(source)
            }
            DatagramKind::Control => {
                self.send_to_control(source, header, payload);
                TunnelAction::Done
            }
            DatagramKind::Response | DatagramKind::Pong => {
                self.metrics.drop(DropReason::UnexpectedKind);
                TunnelAction::Done
            }
        }
    }

    /// Seals `contents` for `caller` into `outgoing` and returns the balancer to send it to.
    ///
    /// Returns `None` for a caller that isn't in the caller table.
    pub(crate) fn seal_response(
        &mut self,
        caller: SocketAddrV4,
        service_ip: std::net::Ipv4Addr,
        contents: &[u8],
        segment_len: usize,
    ) -> Option<SocketAddrV4> {
        let now = self.shared.clock.now();
        let Some(route) = self.callers.route(now, caller, service_ip) else {
            self.metrics.drop(DropReason::NoRoute);
            return None;
        };
        let header = TunnelHeader {
            caller,
            service_address: route.service_address,
            ..self.own_header(DatagramKind::Response)
        };
        self.outgoing.clear();
        for segment in contents.chunks(segment_len.max(1)) {
            self.sealer.seal(&header, segment, &mut self.outgoing);
            self.metrics.response_datagrams.inc();
        }
        Some(route.balancer)
    }

    fn handle_forward<'a>(
        &mut self,
        source: SocketAddrV4,
        header: &TunnelHeader,
        payload: &'a [u8],
    ) -> TunnelAction<'a> {
        if let Some(agent) = self.redirect_target(header, payload) {
            self.metrics.redirected.inc();
            let redirected = TunnelHeader {
                kind: DatagramKind::Redirected,
                second: None,
                ..*header
            };
            // The second agent must respond through the balancer and not through this agent, so the
            // balancer's address replaces that of the second candidate in the header.
            let redirected = redirected.with_return_address(source);
            self.outgoing.clear();
            self.sealer.seal(&redirected, payload, &mut self.outgoing);
            return TunnelAction::Reply(agent);
        }
        self.deliver(source, header, payload)
    }

    fn redirect_target(&mut self, header: &TunnelHeader, payload: &[u8]) -> Option<SocketAddrV4> {
        let second = header.second?;
        let Some(PacketHeader::Initial(id)) = PacketHeader::parse(payload) else {
            return None;
        };
        let shared = &self.shared;
        let now = shared.clock.now();
        let load = shared.load();
        self.redirects
            .decide(now, id, load, shared.has_room(), Some(second))
    }

    fn deliver<'a>(
        &mut self,
        source: SocketAddrV4,
        header: &TunnelHeader,
        payload: &'a [u8],
    ) -> TunnelAction<'a> {
        let service = self.shared.service();
        if service == ServiceId(0) || header.service != service {
            self.metrics.drop(DropReason::ForeignService);
            return TunnelAction::Done;
        }
        if self.shared.is_evacuated() {
            self.metrics.drop(DropReason::TakenOut);
            return TunnelAction::Done;
        }
        let balancer = match header.kind {
            DatagramKind::Redirected => header.return_address().unwrap_or(source),
            _ => source,
        };
        let route = CallerRoute {
            balancer,
            service_address: header.service_address,
        };
        self.callers
            .record(self.shared.clock.now(), header.caller, route);
        self.metrics.delivered.inc();
        TunnelAction::Deliver {
            caller: header.caller,
            service_address: header.service_address,
            payload,
        }
    }

    /// Notifies the control thread of a newer version.
    fn report_newer_version(&mut self, source: SocketAddrV4, header: &TunnelHeader) {
        if header.version > self.shared.config_number() && header.kind != DatagramKind::Control {
            self.send_to_control(source, *header, &[]);
        }
    }

    /// Sends a datagram to the control thread. It is dropped if the queue is full.
    fn send_to_control(&mut self, source: SocketAddrV4, header: TunnelHeader, payload: &[u8]) {
        let datagram = ControlDatagram {
            source,
            header,
            payload: payload.to_vec(),
        };
        if self.control.try_send(datagram).is_err() {
            self.metrics.drop(DropReason::ControlQueueFull);
        }
    }

    fn own_header(&self, kind: DatagramKind) -> TunnelHeader {
        TunnelHeader {
            service: self.shared.service(),
            version: self.shared.config_number(),
            control_port: self.shared.control_port,
            load: self.shared.load(),
            ..TunnelHeader::new(kind)
        }
    }
}
