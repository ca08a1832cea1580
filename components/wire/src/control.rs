//! Control messages.
//!
//! The structs use `prost`'s derive directly, so that the build needs no code generator.

use prost::{
    Message,
    Oneof, //
};

/// A control message of any kind.
#[derive(Clone, PartialEq, Message)]
pub struct ControlMessage {
    /// The message; absent if its kind is unknown to this version of the software.
    #[prost(
        oneof = "ControlBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22"
    )]
    pub body: Option<ControlBody>,
}

impl ControlMessage {
    /// Creates the message with this body.
    pub fn new(body: ControlBody) -> ControlMessage {
        ControlMessage { body: Some(body) }
    }
}

/// The kinds of control message.
#[derive(Clone, PartialEq, Oneof)]
pub enum ControlBody {
    /// Heartbeat of an agent, to a balancer.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// A balancer's response to a heartbeat.
    #[prost(message, tag = "2")]
    HeartbeatAck(HeartbeatAck),
    /// Changed member records, between balancers.
    #[prost(message, tag = "3")]
    Gossip(Gossip),
    /// Asks a member whether it is alive.
    #[prost(message, tag = "4")]
    Probe(Probe),
    /// Response to a probe.
    #[prost(message, tag = "5")]
    ProbeAck(Probe),
    /// Asks the receiver to probe another member for the sender.
    #[prost(message, tag = "6")]
    ProbeRequest(ProbeRequest),
    /// Asks for a configuration version newer than the sender's.
    #[prost(message, tag = "7")]
    FetchVersion(FetchVersion),
    /// A configuration version.
    #[prost(message, tag = "8")]
    Version(VersionDocument),
    /// Asks for a key ring newer than the sender's.
    #[prost(message, tag = "9")]
    FetchKeys(FetchKeys),
    /// A wrapped key ring.
    #[prost(message, tag = "10")]
    Keys(KeyDocument),
    /// Asks for the member records of buckets whose digests differ.
    #[prost(message, tag = "11")]
    SyncMembers(SyncMembers),
    /// Member records, in response to `SyncMembers`.
    #[prost(message, tag = "12")]
    Members(Gossip),
    /// Asks the agent that owns an idempotency key for the outcome of its request.
    #[prost(message, tag = "13")]
    QueryOutcome(QueryOutcome),
    /// The outcome of the request with an idempotency key.
    #[prost(message, tag = "14")]
    Outcome(OutcomeReply),
    /// Asks for the status of the process.
    #[prost(message, tag = "15")]
    FetchStatus(FetchStatus),
    /// The status of the process, as JSON.
    #[prost(message, tag = "16")]
    Status(StatusReply),
    /// The receiver has nothing newer, or doesn't serve the request.
    #[prost(message, tag = "17")]
    Nothing(Nothing),
    /// Asks another agent of the service to run a request that has no response yet.
    #[prost(message, tag = "18")]
    RunRequest(RunRequest),
    /// The response to the request of `RunRequest`, or that it hasn't run.
    #[prost(message, tag = "19")]
    RunReply(RunReply),
    /// Asks a balancer for the agents of a service; the response is `Members`.
    #[prost(message, tag = "20")]
    FetchAgents(FetchAgents),
    /// Asks an agent for the response times of its server.
    #[prost(message, tag = "21")]
    FetchTimes(FetchTimes),
    /// The response times of an agent's server.
    #[prost(message, tag = "22")]
    RouteTimes(RouteTimes),
}

/// The record of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberInfo {
    /// Name of the member: an agent has that of its backend server, a balancer its own.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IPv4 address for tunnel datagrams and control connections, as a number.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Port for tunnel datagrams (UDP) and control connections (TCP).
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// 1 for a balancer, 2 for an agent.
    #[prost(uint32, tag = "4")]
    pub role: u32,
    /// Name of the data centre.
    #[prost(string, tag = "5")]
    pub data_centre: String,
    /// Start time of the process, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "6")]
    pub incarnation: u64,
    /// Version of the record; grows with each change that the member itself announces.
    #[prost(uint32, tag = "7")]
    pub sequence: u32,
    /// 1 cold, 2 warm, 3 draining, 4 suspect, 5 dead.
    #[prost(uint32, tag = "8")]
    pub state: u32,
    /// Number of requests that the backend server may run at once; 0 for a balancer.
    #[prost(uint32, tag = "9")]
    pub slots: u32,
    /// Share of its slots that the backend server may use now, in 1/255; below 255 during warm-up.
    #[prost(uint32, tag = "10")]
    pub warmup_level: u32,
    /// Name of the region.
    #[prost(string, tag = "11")]
    pub region: String,
}

/// Heartbeat of an agent.
#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    /// The agent's own record; left out while the balancer is known to hold it.
    #[prost(message, optional, tag = "1")]
    pub member: Option<MemberInfo>,
    /// Version of the key ring that the agent holds.
    #[prost(uint32, tag = "2")]
    pub key_version: u32,
    /// Incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Sequence of the agent's record.
    #[prost(uint32, tag = "4")]
    pub sequence: u32,
    /// Digest of the list of balancers to which the agent sends heartbeats.
    #[prost(fixed32, tag = "5")]
    pub balancers_digest: u32,
}

/// A balancer's response to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatAck {
    /// Version of the key ring that the balancer holds.
    #[prost(uint32, tag = "1")]
    pub key_version: u32,
    /// Balancers to which the agent should send its heartbeats, best first; empty if it already
    /// does.
    #[prost(message, repeated, tag = "2")]
    pub balancers: Vec<MemberInfo>,
    /// The balancer's record of the agent, if it is wrong and the agent should refute it.
    #[prost(message, optional, tag = "3")]
    pub disputed_record: Option<MemberInfo>,
    /// Sequence of the agent's record that the balancer holds; 0 if it holds none.
    #[prost(uint32, tag = "4")]
    pub sequence: u32,
}

/// Changed member records.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// Records that have changed.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberInfo>,
    /// Digest of the sender's member list; 0 from an agent.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Version of the key ring that the sender holds.
    #[prost(uint32, tag = "3")]
    pub key_version: u32,
}

/// A probe or the response to it, with piggybacked changes.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Number that the response repeats.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Changed member records that are gossiped with the probe.
    #[prost(message, optional, tag = "2")]
    pub gossip: Option<Gossip>,
    /// The sender's own record, for a receiver that may not have it.
    #[prost(message, optional, tag = "3")]
    pub member: Option<MemberInfo>,
    /// Addresses of the balancers that an agent uses, in its ack to a balancer that sent its record.
    #[prost(message, repeated, tag = "4")]
    pub balancers: Vec<MemberInfo>,
}

/// Asks the receiver to probe another member for the sender.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    /// Number that the response repeats.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// IPv4 address of the member to probe, as a number.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Control port of the member to probe.
    #[prost(uint32, tag = "3")]
    pub port: u32,
}

/// Asks for a newer configuration version.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchVersion {
    /// Number of the sender's version; 0 if it has none.
    #[prost(uint32, tag = "1")]
    pub known_version: u32,
}

/// A configuration version.
#[derive(Clone, PartialEq, Message)]
pub struct VersionDocument {
    /// Number of the version.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The version as JSON, byte for byte as in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub document: Vec<u8>,
}

/// Asks for a newer key ring.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchKeys {
    /// Version of the sender's key ring; 0 if it has none.
    #[prost(uint32, tag = "1")]
    pub known_version: u32,
}

/// A key ring, wrapped with a key derived from the bootstrap secret.
#[derive(Clone, PartialEq, Message)]
pub struct KeyDocument {
    /// Version of the key ring.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The wrapped key ring, byte for byte as in the store.
    #[prost(bytes = "vec", tag = "2")]
    pub document: Vec<u8>,
}

/// Asks for the member records of buckets whose digests differ.
#[derive(Clone, PartialEq, Message)]
pub struct SyncMembers {
    /// Digest of each bucket of the sender's member list.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
    /// Records of the sender that the receiver may not have.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberInfo>,
}

/// Asks for the outcome of the request with an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct QueryOutcome {
    /// The idempotency key, as the caller sends it.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// The outcome of the request with an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct OutcomeReply {
    /// 1 not run here and never will be, 2 running, 3 done, 4 done but response not kept, 5
    /// unknown.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// HTTP status of the recorded response.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the recorded response.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// Body of the recorded response.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

/// One header of an HTTP message.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderField {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// Asks for the status of the process.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchStatus {}

/// The status of the process.
#[derive(Clone, PartialEq, Message)]
pub struct StatusReply {
    /// The status as a JSON object.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Empty response: the receiver has nothing newer, or doesn't serve the request.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Nothing {}

/// Asks another agent of the service to run a request that has no response yet. The receiver
/// cancels the request when the sender closes the connection.
#[derive(Clone, PartialEq, Message)]
pub struct RunRequest {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Method of the request, which is idempotent.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Path and query of the request.
    #[prost(string, tag = "3")]
    pub path: String,
    /// Headers of the request as the server gets them.
    #[prost(message, repeated, tag = "4")]
    pub headers: Vec<HeaderField>,
    /// Time until the request's deadline, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub timeout_ms: u32,
}

/// The response to the request of `RunRequest`, or that it hasn't run.
#[derive(Clone, PartialEq, Message)]
pub struct RunReply {
    /// 1 done, 2 refused and not run, 3 run without a whole response of at most 256 KiB.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// HTTP status of the response.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the response.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// Whole body of the response.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
}

/// Asks a balancer for warm agents of a service, those of the sender's data centre first.
#[derive(Clone, PartialEq, Message)]
pub struct FetchAgents {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Name of the sender's data centre.
    #[prost(string, tag = "2")]
    pub data_centre: String,
    /// Random number at which the choice starts if the service has more agents than are listed.
    #[prost(fixed32, tag = "3")]
    pub pick: u32,
}

/// Asks an agent for the response times of its server.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchTimes {}

/// The response times of an agent's server.
#[derive(Clone, PartialEq, Message)]
pub struct RouteTimes {
    /// The routes that have enough requests.
    #[prost(message, repeated, tag = "1")]
    pub routes: Vec<RouteTime>,
}

/// The response times of one route.
#[derive(Clone, PartialEq, Message)]
pub struct RouteTime {
    /// Name of the route.
    #[prost(string, tag = "1")]
    pub route: String,
    /// 95th percentile of the response times, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub percentile_ms: u32,
}
