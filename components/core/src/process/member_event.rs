//! Events and actions of the membership protocol.

use std::net::SocketAddrV4;

use super::{
    MemberKey,
    MemberRecord,
    PeerMessage, //
};

/// An event that a balancer's or agent's protocol handles.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Drives everything that depends on time; expected about ten times per second.
    Tick,
    /// A message arrived.
    Received {
        /// Control address of the sender.
        from: SocketAddrV4,
        /// Number of the sender's configuration version, from the header of the datagram.
        version: u32,
        /// The message.
        message: PeerMessage,
    },
    /// An agent that isn't a target of new flows owns an established one.
    AgentSeen {
        /// Control address of the agent.
        agent: SocketAddrV4,
    },
    /// A newer configuration version is now in force in this process.
    VersionAdopted {
        /// Number of the version.
        number: u32,
        /// Whether the version evacuates a data centre that the previous one didn't.
        evacuates_centre: bool,
    },
    /// A newer key ring is now in force in this process.
    KeyRingAdopted {
        /// Version of the key ring.
        version: u32,
    },
    /// A configuration version couldn't be fetched from a peer.
    VersionFetchFailed,
    /// The key ring couldn't be fetched from a peer.
    KeyFetchFailed,
    /// A peer answered a bulk sync.
    SyncCompleted {
        /// Control address of the peer.
        peer: SocketAddrV4,
        /// The peer's records in the buckets whose digests differ.
        records: Vec<MemberRecord>,
    },
    /// A peer pushed its newer records in bulk after a sync.
    RecordsPushed {
        /// Control address of the peer; unspecified if the connection doesn't carry it.
        peer: SocketAddrV4,
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// A bulk sync failed or the peer declined it.
    SyncFailed,
}

/// An action that the process is to run, or a change that it may react to.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message in a datagram.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: PeerMessage,
    },
    /// Send the bucket digests to a peer over a bulk connection and receive its differing records.
    Sync {
        /// Control address of the peer.
        with: SocketAddrV4,
    },
    /// Send records to a peer over a bulk connection.
    Push {
        /// Control address of the peer.
        to: SocketAddrV4,
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// Fetch the configuration version in force from a peer.
    FetchVersion {
        /// Control address of the peer.
        from: SocketAddrV4,
    },
    /// Fetch the key ring from a peer.
    FetchKeys {
        /// Control address of the peer.
        from: SocketAddrV4,
    },
    /// The record of a member was added or replaced.
    MemberChanged(MemberKey),
    /// The record of a dead member was removed after its retention time.
    MemberPruned(SocketAddrV4),
}
