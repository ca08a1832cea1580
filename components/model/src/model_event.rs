//! What happens in the model.

use std::net::SocketAddrV4;

use carobdrum_flows::{
    process::AgentReport,
    request::ForwardHeader,
    FlowKey,
    FlowPacket, //
};

/// What happens at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ModelEvent {
    /// A caller has a new request.
    Arrival,
    /// A datagram arrives, given by its key in the arena.
    Datagram(u32),
    /// The attempt of a request is looked at: copies, retransmissions and time-outs.
    Attempt { request: u32, attempt: u8, step: u8 },
    /// A server has finished the request of a flow.
    WorkDone {
        agent: u16,
        incarnation: u16,
        key: FlowKey,
    },
    /// Balancers probe, agents look for what is overdue.
    Tick,
    /// A fault begins.
    FaultBegins(u16),
    /// A fault is over.
    FaultEnds(u16),
}

/// A datagram on its way.
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
        balancer: SocketAddrV4,
        agent: SocketAddrV4,
        key: FlowKey,
    },
    Probe {
        balancer: SocketAddrV4,
        agent: SocketAddrV4,
    },
}
