//! Messages between members, as the decision logic uses them.
//!
//! The types correspond to the control messages of the wire crate. The number of the sender's
//! configuration version isn't part of them, because each datagram carries it in its header.

use std::net::SocketAddrV4;

use super::{
    wire_len::{
        nested_len,
        varint_len, //
    },
    MemberRecord, //
};

/// Largest encoded message, in bytes. With tunnel and IP headers, a datagram stays below 1,200
/// bytes.
pub const MAX_MESSAGE_LEN: usize = 1_100;

/// Length of an encoded `fixed64` field, in bytes, with its tag.
const FIXED64_LEN: usize = 9;

/// Length of an encoded `fixed32` field, in bytes, with its tag.
const FIXED32_LEN: usize = 5;

/// Length of an address in a list, in bytes: address and port with their tags, and the tag and
/// length of the embedded message.
const ADDRESS_LEN: usize = 11;

/// An agent's heartbeat to a balancer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The agent's record; absent if the receiver has acknowledged it.
    pub member: Option<MemberRecord>,
    /// Start time of the agent, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Sequence of the agent's current record.
    pub sequence: u32,
    /// Digest of the balancers that the agent sends heartbeats to.
    pub balancers_digest: u32,
    /// Version of the agent's key ring.
    pub key_version: u32,
}

/// A balancer's ack of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct HeartbeatAck {
    /// Version of the balancer's key ring.
    pub key_version: u32,
    /// Sequence of the record that the balancer holds of the agent; 0 if it holds none of the
    /// agent's current process.
    pub sequence: u32,
    /// Balancers that the agent should send heartbeats to, best first; empty if it does so already.
    pub balancers: Vec<SocketAddrV4>,
    /// Record of the agent that the balancer holds and the agent should refute, if there is one.
    pub disputed_record: Option<MemberRecord>,
}

/// Changed records, and a digest and version by which the receiver notices what it lacks.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct GossipBody {
    /// The changed records.
    pub members: Vec<MemberRecord>,
    /// Digest of the sender's member list; 0 from an agent, which has none.
    pub digest: u64,
    /// Version of the sender's key ring.
    pub key_version: u32,
}

/// A probe or its ack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeBody {
    /// Number of the probe, which its ack repeats.
    pub number: u32,
    /// Gossip that is sent along.
    pub gossip: GossipBody,
    /// The sender's own record, if the receiver may not hold it or should correct what it holds.
    pub member: Option<MemberRecord>,
    /// Balancers that an agent sends heartbeats to, in its ack to a balancer that sent its record.
    pub balancers: Vec<SocketAddrV4>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// An agent's heartbeat to a balancer.
    Heartbeat(Heartbeat),
    /// A balancer's ack of a heartbeat, or its announcement of a new version to an agent.
    HeartbeatAck(HeartbeatAck),
    /// Changed records between balancers, or the announcement of a new version.
    Gossip(GossipBody),
    /// Asks a member for an ack.
    Probe(ProbeBody),
    /// Acknowledges a probe.
    ProbeAck(ProbeBody),
    /// Asks another balancer to probe a member (indirect probe).
    ProbeRequest {
        /// Number of the requester's probe, which the ack repeats.
        number: u32,
        /// Member to probe.
        target: SocketAddrV4,
    },
}

impl PeerMessage {
    /// Returns the encoded length of the message, in bytes, without tunnel and IP headers.
    pub fn wire_len(&self) -> usize {
        let body = match self {
            PeerMessage::Heartbeat(heartbeat) => heartbeat.wire_len(),
            PeerMessage::HeartbeatAck(ack) => ack.wire_len(),
            PeerMessage::Gossip(gossip) => gossip.wire_len(),
            PeerMessage::Probe(probe) | PeerMessage::ProbeAck(probe) => probe.wire_len(),
            PeerMessage::ProbeRequest { number, .. } => {
                varint_len((*number).into()) + FIXED32_LEN + 4
            }
        };
        nested_len(body)
    }
}

impl Heartbeat {
    fn wire_len(&self) -> usize {
        self.member.as_ref().map_or(0, MemberRecord::wire_len)
            + varint_len(self.incarnation)
            + varint_len(self.sequence.into())
            + FIXED32_LEN
            + varint_len(self.key_version.into())
    }
}

impl HeartbeatAck {
    fn wire_len(&self) -> usize {
        varint_len(self.key_version.into())
            + varint_len(self.sequence.into())
            + self.balancers.len() * ADDRESS_LEN
            + self
                .disputed_record
                .as_ref()
                .map_or(0, MemberRecord::wire_len)
    }
}

impl GossipBody {
    fn wire_len(&self) -> usize {
        let members: usize = self.members.iter().map(MemberRecord::wire_len).sum();
        members + FIXED64_LEN + varint_len(self.key_version.into())
    }
}

impl ProbeBody {
    fn wire_len(&self) -> usize {
        varint_len(self.number.into())
            + nested_len(self.gossip.wire_len())
            + self.member.as_ref().map_or(0, MemberRecord::wire_len)
            + self.balancers.len() * ADDRESS_LEN
    }
}
