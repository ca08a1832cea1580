//! Datagrams between balancers and agents about flows that neither can open.
//!
//! The structs are written by hand with `prost`'s derive, so that the build needs no generator.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use bytes::Bytes;
pub use carobdrum_core::process::address_to_number;
use prost::{
    Message,
    Oneof, //
};

/// Any datagram.
#[derive(Clone, PartialEq, Message)]
pub struct FlowDatagram {
    /// The datagram itself; absent for a kind that this version doesn't know.
    #[prost(oneof = "FlowBody", tags = "1, 2, 3, 4")]
    pub body: Option<FlowBody>,
}

impl FlowDatagram {
    /// Encodes a datagram.
    pub fn encode_body(body: FlowBody) -> Vec<u8> {
        FlowDatagram { body: Some(body) }.encode_to_vec()
    }
}

/// The kinds of datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum FlowBody {
    /// A packet of a caller, to an agent.
    #[prost(message, tag = "1")]
    Forward(ForwardedPacket),
    /// State of a backend server, from its agent to a balancer.
    #[prost(message, tag = "2")]
    Report(ServerReport),
    /// Owner of a flow, from that owner to a balancer.
    #[prost(message, tag = "3")]
    Owner(FlowOwner),
    /// Asks an agent for a report.
    #[prost(message, tag = "4")]
    Probe(ReportProbe),
}

/// A packet of a caller and what accompanies it. Addresses are as [`address_to_number`] makes them.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedPacket {
    /// Balancer that received the packet.
    #[prost(fixed64, tag = "1")]
    pub balancer: u64,
    /// Hash of the data centre of that balancer.
    #[prost(fixed32, tag = "2")]
    pub centre: u32,
    /// Hash of the service of the flow.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Revision of the store that the balancer's configuration has.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Agents that have seen the packet.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
    /// Candidates still to be asked.
    #[prost(fixed64, repeated, tag = "6")]
    pub rest: Vec<u64>,
    /// How many of `rest` are in the data centre of the balancer.
    #[prost(uint32, tag = "7")]
    pub near: u32,
    /// Least loaded agent so far; zero if none was asked.
    #[prost(fixed64, tag = "8")]
    pub best_agent: u64,
    /// Wait at that agent, in microseconds.
    #[prost(uint32, tag = "9")]
    pub best_wait_us: u32,
    /// Whether the packet is on its way to the least loaded agent.
    #[prost(bool, tag = "10")]
    pub assigned: bool,
    /// Whether a backend server got the packet before.
    #[prost(bool, tag = "11")]
    pub delivered: bool,
    /// The packet as the caller sent it.
    #[prost(bytes = "bytes", tag = "12")]
    pub packet: Bytes,
}

/// State of a backend server.
#[derive(Clone, PartialEq, Message)]
pub struct ServerReport {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Whether the server takes new flows.
    #[prost(bool, tag = "2")]
    pub accepts: bool,
    /// Requests in progress.
    #[prost(uint32, tag = "3")]
    pub busy: u32,
    /// Requests that the server works on at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Revision of the store that the agent's configuration has.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Data centre of the agent.
    #[prost(string, tag = "6")]
    pub centre: String,
    /// Service of the backend server.
    #[prost(string, tag = "7")]
    pub service: String,
    /// Share of the server's answers that are failures, in percent.
    #[prost(uint32, tag = "8")]
    pub failure_percent: u32,
}

/// Owner of a flow.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FlowOwner {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Address of the caller.
    #[prost(fixed64, tag = "2")]
    pub caller: u64,
    /// Address that the caller opened the flow to.
    #[prost(fixed64, tag = "3")]
    pub service: u64,
}

/// Asks an agent for a report.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct ReportProbe {
    /// Balancer that asks.
    #[prost(fixed64, tag = "1")]
    pub balancer: u64,
    /// Revision of the store that the balancer's configuration has.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Returns the address of a number.
pub fn address_from_number(number: u64) -> SocketAddrV4 {
    let ip = Ipv4Addr::from((number >> 16) as u32);
    SocketAddrV4::new(ip, number as u16)
}
