//! The configuration and the agents, as one process tells another that can't reach the store.

use prost::Message;

/// Longest encoded snapshot, in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 8 << 20;

/// What a process knows of the store. Addresses are numbers as
/// [`address_to_number`](crate::flow_datagram::address_to_number) makes them.
#[derive(Clone, PartialEq, Message)]
pub struct SiteSnapshot {
    /// Version of the routes and services.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Revision of the store of the last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Time after which an idle flow may be forgotten, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub idle_ms: u64,
    /// Routes.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEntry>,
    /// Services.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceEntry>,
    /// Data centres that get no new flows.
    #[prost(string, repeated, tag = "6")]
    pub evacuated_centres: Vec<String>,
    /// Agents; only balancers know them.
    #[prost(message, repeated, tag = "7")]
    pub agents: Vec<AgentEntry>,
}

/// A route.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Address that callers open flows to.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Class of the requests; zero is served first.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Time within which callers want the answer, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub objective_ms: u64,
    /// Services with their shares.
    #[prost(message, repeated, tag = "4")]
    pub shares: Vec<ShareEntry>,
}

/// A service and its share of a route.
#[derive(Clone, PartialEq, Message)]
pub struct ShareEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Share relative to the other services of the route.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// A service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Time that a server stays cold after its start, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub cold_ms: u64,
    /// Requests per second that a cold server bears.
    #[prost(double, optional, tag = "3")]
    pub cold_rate: Option<f64>,
}

/// An agent.
#[derive(Clone, PartialEq, Message)]
pub struct AgentEntry {
    /// Address at which it takes forwarded packets.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Its data centre.
    #[prost(string, tag = "2")]
    pub centre: String,
    /// Service of its backend server.
    #[prost(string, tag = "3")]
    pub service: String,
}
