//! Datagrams between balancers and agents about opaque flows, whose packets they forward unchanged.
//!
//! The structs use `prost`'s derive directly, so that the build needs no code generator.

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

/// A datagram of any kind.
#[derive(Clone, PartialEq, Message)]
pub struct FlowDatagram {
    /// Content of the datagram; absent if its kind is unknown to this version of the software.
    #[prost(oneof = "FlowBody", tags = "1, 2, 3, 4, 5, 6, 7, 8")]
    pub body: Option<FlowBody>,
}

impl FlowDatagram {
    /// Encodes a datagram with this body.
    pub fn encode_body(body: FlowBody) -> Vec<u8> {
        FlowDatagram { body: Some(body) }.encode_to_vec()
    }
}

/// The kinds of datagram.
#[derive(Clone, PartialEq, Oneof)]
pub enum FlowBody {
    /// A caller's packet that is forwarded to an agent.
    #[prost(message, tag = "1")]
    Forward(ForwardedPacket),
    /// Report of a backend server's state, from its agent to a balancer.
    #[prost(message, tag = "2")]
    Report(ServerReport),
    /// Tells a balancer or another agent which agent owns a flow; the owner sends it.
    #[prost(message, tag = "3")]
    Owner(FlowOwner),
    /// Asks an agent for a report.
    #[prost(message, tag = "4")]
    Probe(ReportProbe),
    /// Tells a balancer that no candidate of a later packet holds its flow.
    #[prost(message, tag = "5")]
    NotFound(FlowNotFound),
    /// Asks an agent which flows its server certainly doesn't hold.
    #[prost(message, tag = "6")]
    Query(FlowQuery),
    /// Answer to such a query.
    #[prost(message, tag = "7")]
    QueryReply(FlowQueryReply),
    /// Asks a balancer to delete the registration of an agent whose server has ended; the agent sends it.
    #[prost(message, tag = "8")]
    RegistrationEnded(RegistrationEnded),
}

/// A caller's packet with the state of its forwarding.
///
/// Addresses are numbers as [`address_to_number`] makes them.
#[derive(Clone, PartialEq, Message)]
pub struct ForwardedPacket {
    /// Balancer that received the packet.
    #[prost(fixed64, tag = "1")]
    pub balancer: u64,
    /// Hash of the flow's data centre: the caller's, unless no agent there is usable.
    #[prost(fixed32, tag = "2")]
    pub centre: u32,
    /// Hash of the flow's service.
    #[prost(fixed32, tag = "3")]
    pub service: u32,
    /// Store revision of the balancer's configuration.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Number of agents that have received the packet.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
    /// Candidates that haven't been asked yet, in order.
    #[prost(fixed64, repeated, tag = "6")]
    pub rest: Vec<u64>,
    /// How many of `rest`, from the front, are in the flow's data centre.
    #[prost(uint32, tag = "7")]
    pub near: u32,
    /// Least loaded agent so far; 0 if none was asked.
    #[prost(fixed64, tag = "8")]
    pub best_agent: u64,
    /// Expected queueing delay of a new request at that agent, in microseconds, plus the penalty
    /// for another data centre.
    #[prost(uint32, tag = "9")]
    pub best_wait_us: u32,
    /// Whether the packet was sent to `best_agent` because no further candidate is asked.
    #[prost(bool, tag = "10")]
    pub assigned: bool,
    /// Whether a backend server may have got a copy of the opening packet, so that the flow must not
    /// be refused.
    #[prost(bool, tag = "11")]
    pub delivered: bool,
    /// The packet as the caller sent it.
    #[prost(bytes = "bytes", tag = "12")]
    pub packet: Bytes,
    /// Agents to which the owner of the flow announces itself.
    #[prost(fixed64, repeated, tag = "13")]
    pub anchors: Vec<u64>,
    /// Whether balancers of the caller's data centre find the owner by its rank.
    #[prost(bool, tag = "14")]
    pub is_firm: bool,
    /// Number of candidates at the end of `rest` that don't answer the balancer.
    #[prost(uint32, tag = "15")]
    pub silent: u32,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "16")]
    pub era: Option<u32>,
}

/// Report of a backend server's state.
#[derive(Clone, PartialEq, Message)]
pub struct ServerReport {
    /// Address of the agent that reports.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Whether the server takes new flows.
    #[prost(bool, tag = "2")]
    pub accepts: bool,
    /// Number of requests in progress at the server.
    #[prost(uint32, tag = "3")]
    pub busy: u32,
    /// Number of requests that the server can work on at once.
    #[prost(uint32, tag = "4")]
    pub slots: u32,
    /// Store revision of the agent's configuration.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
    /// Data centre of the agent.
    #[prost(string, tag = "6")]
    pub centre: String,
    /// Service of the backend server.
    #[prost(string, tag = "7")]
    pub service: String,
    /// Share of the server's responses that are failures, in percent.
    #[prost(uint32, tag = "8")]
    pub failure_percent: u32,
    /// Whether the server has sent a heartbeat since the agent's start.
    #[prost(bool, tag = "9")]
    pub confirmed: bool,
    /// Number of requests that the agent holds until the server has a slot for them.
    #[prost(uint32, tag = "10")]
    pub queued: u32,
    /// Moving average of the time from a request to the start of its response, in microseconds; 0 if it
    /// is unknown.
    #[prost(uint32, tag = "11")]
    pub work_us: u32,
    /// Number of open flows older than a second.
    #[prost(uint32, tag = "12")]
    pub open_flows: u32,
    /// Held requests by class, the most urgent class first, four at most; empty if none is held and in
    /// reports of older versions.
    #[prost(message, repeated, tag = "13")]
    pub held: Vec<HeldRequests>,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "14")]
    pub era: Option<u32>,
}

/// Requests of one priority class that an agent holds.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct HeldRequests {
    /// Priority class; zero is served first.
    #[prost(uint32, tag = "1")]
    pub class: u32,
    /// Number of the requests.
    #[prost(uint32, tag = "2")]
    pub count: u32,
}

/// The agent that owns a flow.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FlowOwner {
    /// Address of the agent, which sends this datagram.
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
    /// Balancer that asks, and to which the report goes.
    #[prost(fixed64, tag = "1")]
    pub balancer: u64,
    /// Store revision of the balancer's configuration.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "3")]
    pub era: Option<u32>,
}

/// A later packet whose flow no candidate holds; the last candidate sends it.
#[derive(Clone, PartialEq, Message)]
pub struct FlowNotFound {
    /// Address of the caller.
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// Address that the caller opened the flow to.
    #[prost(fixed64, tag = "2")]
    pub service: u64,
    /// Acknowledgement number of the packet.
    #[prost(fixed32, tag = "3")]
    pub acknowledged: u32,
    /// The packet as the caller sent it, for an agent that hasn't been asked; empty in queries and from older builds.
    #[prost(bytes = "bytes", tag = "4")]
    pub packet: Bytes,
}

/// Asks an agent which flows its server certainly doesn't hold.
#[derive(Clone, PartialEq, Message)]
pub struct FlowQuery {
    /// Number of the query, which the reply repeats.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Balancer that asks, and to which the reply goes.
    #[prost(fixed64, tag = "2")]
    pub balancer: u64,
    /// The flows, with the acknowledgement numbers of their callers.
    #[prost(message, repeated, tag = "3")]
    pub flows: Vec<FlowNotFound>,
}

/// Answer to a [`FlowQuery`].
#[derive(Clone, PartialEq, Message)]
pub struct FlowQueryReply {
    /// Number of the query.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Agent that answers.
    #[prost(fixed64, tag = "2")]
    pub agent: u64,
    /// Positions in the query of the flows that the agent's server certainly doesn't hold.
    #[prost(uint32, repeated, tag = "3")]
    pub absent: Vec<u32>,
    /// Highest store revision of the configuration that the agent knows of.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
    /// Digest of the flows as the agent read them, so that a damaged query has no effect.
    #[prost(fixed64, tag = "5")]
    pub digest: u64,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "6")]
    pub era: Option<u32>,
}

/// Tells that the server of an agent has ended, and that the agent couldn't delete its registration.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RegistrationEnded {
    /// Address of the agent, which sends this datagram.
    #[prost(fixed64, tag = "1")]
    pub agent: u64,
    /// Store revision of the registration.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "3")]
    pub era: Option<u32>,
}

/// Returns the address from which [`address_to_number`] made a number.
pub fn address_from_number(number: u64) -> SocketAddrV4 {
    let ip = Ipv4Addr::from((number >> 16) as u32);
    SocketAddrV4::new(ip, number as u16)
}
