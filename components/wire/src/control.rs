//! Control messages.
//!
//! The structs are written by hand with `prost`'s derive, so that the build needs no generator.

use prost::{
    Message,
    Oneof, //
};

/// Any control message.
#[derive(Clone, PartialEq, Message)]
pub struct ControlMessage {
    /// The message itself; absent for a kind that this version doesn't know.
    #[prost(
        oneof = "ControlBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17"
    )]
    pub body: Option<ControlBody>,
}

impl ControlMessage {
    /// Wraps `body`.
    pub fn new(body: ControlBody) -> ControlMessage {
        ControlMessage { body: Some(body) }
    }
}

/// The kinds of control message.
#[derive(Clone, PartialEq, Oneof)]
pub enum ControlBody {
    /// An agent's sign of life, to a balancer.
    #[prost(message, tag = "1")]
    Heartbeat(Heartbeat),
    /// A balancer's answer to a heartbeat.
    #[prost(message, tag = "2")]
    HeartbeatAck(HeartbeatAck),
    /// Changed member records, between balancers.
    #[prost(message, tag = "3")]
    Gossip(Gossip),
    /// Asks a member for a sign of life.
    #[prost(message, tag = "4")]
    Probe(Probe),
    /// Answers a probe.
    #[prost(message, tag = "5")]
    ProbeAck(Probe),
    /// Asks a third member to probe.
    #[prost(message, tag = "6")]
    ProbeRequest(ProbeRequest),
    /// Asks for a version newer than the one named.
    #[prost(message, tag = "7")]
    FetchVersion(FetchVersion),
    /// A version of the configuration.
    #[prost(message, tag = "8")]
    Version(VersionDocument),
    /// Asks for a key ring newer than the one named.
    #[prost(message, tag = "9")]
    FetchKeys(FetchKeys),
    /// A key ring, wrapped.
    #[prost(message, tag = "10")]
    Keys(KeyDocument),
    /// Asks for member records in differing buckets.
    #[prost(message, tag = "11")]
    SyncMembers(SyncMembers),
    /// Member records.
    #[prost(message, tag = "12")]
    Members(Gossip),
    /// Asks the owner of an idempotency key for the outcome.
    #[prost(message, tag = "13")]
    QueryOutcome(QueryOutcome),
    /// The outcome under an idempotency key.
    #[prost(message, tag = "14")]
    Outcome(OutcomeReply),
    /// Asks for the state of the process.
    #[prost(message, tag = "15")]
    FetchStatus(FetchStatus),
    /// The state of the process, as JSON.
    #[prost(message, tag = "16")]
    Status(StatusReply),
    /// The receiver has nothing newer, or doesn't serve the request.
    #[prost(message, tag = "17")]
    Nothing(Nothing),
}

/// One member as announced or passed on.
#[derive(Clone, PartialEq, Message)]
pub struct MemberInfo {
    /// Name of the member: the backend server's for an agent, the balancer's own otherwise.
    #[prost(string, tag = "1")]
    pub name: String,
    /// IPv4 address of the tunnel, as a number.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Tunnel and control port.
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
    /// Grows with each change that the member itself announces.
    #[prost(uint32, tag = "7")]
    pub sequence: u32,
    /// 1 cold, 2 warm, 3 draining, 4 suspect, 5 dead.
    #[prost(uint32, tag = "8")]
    pub state: u32,
    /// Requests that the server may run at once; 0 for a balancer.
    #[prost(uint32, tag = "9")]
    pub slots: u32,
    /// Share of its slots that the server bears now, in 1/255.
    #[prost(uint32, tag = "10")]
    pub warmup_level: u32,
    /// Name of the region.
    #[prost(string, tag = "11")]
    pub region: String,
}

/// An agent's sign of life.
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
    /// Digest of the balancers that the agent uses.
    #[prost(fixed32, tag = "5")]
    pub balancers_digest: u32,
}

/// A balancer's answer to a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct HeartbeatAck {
    /// Version of the key ring that the balancer holds.
    #[prost(uint32, tag = "1")]
    pub key_version: u32,
    /// Balancers that the agent should send its heartbeats to, best first.
    #[prost(message, repeated, tag = "2")]
    pub balancers: Vec<MemberInfo>,
    /// What the balancer believes of the agent, if the agent should refute it.
    #[prost(message, optional, tag = "3")]
    pub disputed_record: Option<MemberInfo>,
    /// Sequence of the agent's record that the balancer holds; 0 if it holds none.
    #[prost(uint32, tag = "4")]
    pub sequence: u32,
}

/// Changed member records.
#[derive(Clone, PartialEq, Message)]
pub struct Gossip {
    /// The records.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<MemberInfo>,
    /// Digest of the sender's member list.
    #[prost(fixed64, tag = "2")]
    pub digest: u64,
    /// Version of the key ring that the sender holds.
    #[prost(uint32, tag = "3")]
    pub key_version: u32,
}

/// A probe or its answer; changes ride along.
#[derive(Clone, PartialEq, Message)]
pub struct Probe {
    /// Number that the answer repeats.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// Changes that ride along.
    #[prost(message, optional, tag = "2")]
    pub gossip: Option<Gossip>,
    /// The sender's own record.
    #[prost(message, optional, tag = "3")]
    pub member: Option<MemberInfo>,
}

/// Asks a third member to probe.
#[derive(Clone, PartialEq, Message)]
pub struct ProbeRequest {
    /// Number that the answer repeats.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// IPv4 address of the member to probe, as a number.
    #[prost(fixed32, tag = "2")]
    pub ip: u32,
    /// Control port of the member to probe.
    #[prost(uint32, tag = "3")]
    pub port: u32,
}

/// Asks for a newer version.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchVersion {
    /// Number that the sender has.
    #[prost(uint32, tag = "1")]
    pub known_version: u32,
}

/// A version of the configuration.
#[derive(Clone, PartialEq, Message)]
pub struct VersionDocument {
    /// Number of the version.
    #[prost(uint32, tag = "1")]
    pub number: u32,
    /// The version as JSON, as the store holds it.
    #[prost(bytes = "vec", tag = "2")]
    pub document: Vec<u8>,
}

/// Asks for a newer key ring.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchKeys {
    /// Version that the sender has.
    #[prost(uint32, tag = "1")]
    pub known_version: u32,
}

/// A key ring, wrapped under the bootstrap secret.
#[derive(Clone, PartialEq, Message)]
pub struct KeyDocument {
    /// Version of the ring.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The ring as the store holds it.
    #[prost(bytes = "vec", tag = "2")]
    pub document: Vec<u8>,
}

/// Asks for records in differing buckets.
#[derive(Clone, PartialEq, Message)]
pub struct SyncMembers {
    /// Digest of each bucket of the sender's member list.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
    /// Records of the sender that the receiver may lack.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<MemberInfo>,
}

/// Asks for the outcome under an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct QueryOutcome {
    /// The key.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// The outcome under an idempotency key.
#[derive(Clone, PartialEq, Message)]
pub struct OutcomeReply {
    /// 1 never run here and never will be, 2 running, 3 done, 4 done but not kept, 5 unknown.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// Status of the recorded answer.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers of the recorded answer.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<HeaderField>,
    /// Body of the recorded answer.
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

/// Asks for the state of the process.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct FetchStatus {}

/// The state of the process.
#[derive(Clone, PartialEq, Message)]
pub struct StatusReply {
    /// The state as a JSON object.
    #[prost(string, tag = "1")]
    pub json: String,
}

/// Nothing to answer.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Nothing {}
