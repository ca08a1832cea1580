//! Events of the simulation.

use std::net::SocketAddrV4;

use carobdrum_flows::{
    process::AgentReport,
    request::ForwardHeader,
    FlowKey,
    FlowPacket, //
};

/// Event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelEvent {
    /// A caller starts a request.
    Arrival,
    /// The datagram with this index arrives.
    Datagram(u32),
    /// An attempt of a request continues: with a retransmission, the request sent again, or a
    /// time-out.
    Attempt { request: u32, attempt: u8, step: u8 },
    /// A server has processed the request of a flow.
    WorkDone {
        agent: u16,
        incarnation: u16,
        key: FlowKey,
    },
    /// Periodic work of balancers and agents is due.
    Tick,
    /// A fault begins.
    FaultBegins(u16),
    /// A fault ends.
    FaultEnds(u16),
}

/// A datagram in transit.
#[derive(Clone, Debug)]
pub(crate) enum ModelDatagram {
    ToBalancer {
        balancer: u16,
        packet: FlowPacket,
    },
    ToAgent {
        to: SocketAddrV4,
        header: ForwardHeader,
        packet: FlowPacket,
    },
    ToCaller {
        packet: FlowPacket,
    },
    Report {
        balancer: SocketAddrV4,
        agent: SocketAddrV4,
        report: AgentReport,
    },
    Owner {
        /// A balancer or an agent.
        to: SocketAddrV4,
        agent: SocketAddrV4,
        key: FlowKey,
    },
    Probe {
        balancer: SocketAddrV4,
        agent: SocketAddrV4,
    },
}
