//! Snapshots of the store's content, which processes send to others that can't reach the store.

use prost::Message;

/// Longest encoded snapshot, in bytes.
pub const MAX_SNAPSHOT_LEN: usize = 8 << 20;

/// The configuration and the agents, as a process has read them from the store.
///
/// Addresses are numbers as [`address_to_number`](crate::flow_datagram::address_to_number) makes
/// them.
#[derive(Clone, PartialEq, Message)]
pub struct SiteSnapshot {
    /// Version of the configuration, as the operator states it.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Store revision of the last change that the snapshot contains.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Idle timeout of flows, after which their state may be dropped, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub idle_timeout_ms: u64,
    /// Routes of the configuration.
    #[prost(message, repeated, tag = "4")]
    pub routes: Vec<RouteEntry>,
    /// Services of the configuration.
    #[prost(message, repeated, tag = "5")]
    pub services: Vec<ServiceEntry>,
    /// Names of the evacuated data centres, which get no new flows.
    #[prost(string, repeated, tag = "6")]
    pub evacuated_centres: Vec<String>,
    /// Agents; empty from an agent, since only balancers know the agents.
    #[prost(message, repeated, tag = "7")]
    pub agents: Vec<AgentEntry>,
    /// Services that routes led to in earlier versions, whose flows may still be open.
    #[prost(message, repeated, tag = "8")]
    pub former_services: Vec<FormerEntry>,
    /// Time after which `former_services` names every service that may hold an open flow, in
    /// milliseconds; absent if the sender doesn't know.
    #[prost(uint64, optional, tag = "9")]
    pub history_gap_ms: Option<u64>,
    /// Era of the store in which it gave out `revision`; absent from older builds, or if the store states none.
    #[prost(uint32, optional, tag = "10")]
    pub era: Option<u32>,
    /// Data centres whose state in `evacuated_centres` differs from that in the store, and holds for a time only.
    #[prost(message, repeated, tag = "11")]
    pub provisional_centres: Vec<ProvisionalEntry>,
}

/// A data centre whose state differs from that in the store, as the store has come back from an older copy.
#[derive(Clone, PartialEq, Message)]
pub struct ProvisionalEntry {
    /// Name of the data centre.
    #[prost(string, tag = "1")]
    pub centre: String,
    /// Whether it is evacuated.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// Time for which that holds, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// A service that a route led to in an earlier version.
#[derive(Clone, PartialEq, Message)]
pub struct FormerEntry {
    /// Address of the route.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Time for which flows that opened there may remain open, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub remaining_ms: u64,
}

/// A route of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct RouteEntry {
    /// Address to which callers open flows.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Priority class of the requests; 0 is served first.
    #[prost(uint32, tag = "2")]
    pub priority: u32,
    /// Time within which callers expect the response, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub objective_ms: u64,
    /// Services of the route, with their shares of new flows.
    #[prost(message, repeated, tag = "4")]
    pub shares: Vec<ShareEntry>,
    /// Whether requests may be repeated; false from a sender that doesn't know it.
    #[prost(bool, tag = "5")]
    pub idempotent: bool,
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

/// A service of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceEntry {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Time that a server stays cold after its start, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub cold_ms: u64,
    /// Requests per second that a cold server takes; absent for no limit.
    #[prost(double, optional, tag = "3")]
    pub cold_rate: Option<f64>,
}

/// An agent and its backend server.
#[derive(Clone, PartialEq, Message)]
pub struct AgentEntry {
    /// Address at which the agent receives forwarded packets.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Name of the agent's data centre.
    #[prost(string, tag = "2")]
    pub centre: String,
    /// Name of the backend server's service.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Whether the backend server is shutting down or has deregistered.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
}
