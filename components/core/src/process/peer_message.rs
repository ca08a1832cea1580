//! Messages between members, as the decision logic sees them.
//!
//! The types mirror the control messages of the wire crate. The configuration number isn't part of
//! them: it stands in the header of each datagram.

use std::net::SocketAddrV4;

use super::{
    wire_len::{
        nested_len,
        varint_len, //
    },
    MemberRecord, //
};

/// Largest encoded message, in bytes; with tunnel and IP headers it stays below 1,200 bytes.
pub const MAX_MESSAGE_LEN: usize = 1_100;

/// Length of an encoded field with eight fixed bytes.
const FIXED64_LEN: usize = 9;

/// Length of an encoded field with four fixed bytes.
const FIXED32_LEN: usize = 5;

/// Length of an address in a list: address, port, their tags and the tag and length of the whole.
const ADDRESS_LEN: usize = 11;

/// An agent's sign of life.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The agent's record; left out while the receiver is known to hold it.
    pub member: Option<MemberRecord>,
    /// Start time of the agent.
    pub incarnation: u64,
    /// Sequence of the agent's record.
    pub sequence: u32,
    /// Digest of the balancers that the agent uses.
    pub balancers_digest: u32,
    /// Version of the key ring that the agent holds.
    pub key_version: u32,
}

/// A balancer's answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct HeartbeatAck {
    /// Version of the key ring that the balancer holds.
    pub key_version: u32,
    /// Sequence of the record that the balancer holds; 0 if it holds none.
    pub sequence: u32,
    /// Balancers that the agent should use, best first; empty if the agent uses them already.
    pub balancers: Vec<SocketAddrV4>,
    /// What the balancer believes of the agent, if the agent should refute it.
    pub disputed_record: Option<MemberRecord>,
}

/// Changed records.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub struct GossipBody {
    /// The records.
    pub members: Vec<MemberRecord>,
    /// Digest of the sender's member list; 0 from an agent.
    pub digest: u64,
    /// Version of the key ring that the sender holds.
    pub key_version: u32,
}

/// A probe or its answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProbeBody {
    /// Number that the answer repeats.
    pub number: u32,
    /// Changes that ride along.
    pub gossip: GossipBody,
    /// The sender's own record, for a receiver that may not know it.
    pub member: Option<MemberRecord>,
}

/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// An agent's sign of life, to a balancer.
    Heartbeat(Heartbeat),
    /// A balancer's answer to a heartbeat, or a notice of a new version.
    HeartbeatAck(HeartbeatAck),
    /// Changes between balancers, or a notice of a new version.
    Gossip(GossipBody),
    /// Asks a member for a sign of life.
    Probe(ProbeBody),
    /// Answers a probe.
    ProbeAck(ProbeBody),
    /// Asks a third member to probe.
    ProbeRequest {
        /// Number that the answer repeats.
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
    }
}
