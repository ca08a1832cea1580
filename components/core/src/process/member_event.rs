//! Events and actions of the membership protocol.

use std::net::SocketAddrV4;

use super::{
    MemberKey,
    MemberRecord,
    PeerMessage, //
};

/// What happens to a member.
#[derive(Clone, Debug)]
pub enum MemberEvent {
    /// Time passed; expected about ten times per second.
    Tick,
    /// A message arrived.
    Received {
        /// Control address of the sender.
        from: SocketAddrV4,
        /// Configuration number in the header of the datagram.
        version: u32,
        /// The message.
        message: PeerMessage,
    },
    /// A version of the configuration is now in force here.
    VersionAdopted {
        /// Its number.
        number: u32,
        /// Whether it takes a data centre out that was in before.
        evacuates_centre: bool,
    },
    /// A key ring is now in force here.
    KeyRingAdopted {
        /// Its version.
        version: u32,
    },
    /// A fetch of the configuration failed.
    VersionFetchFailed,
    /// A fetch of the key ring failed.
    KeyFetchFailed,
    /// A bulk sync brought records that the peer holds in differing buckets.
    SyncCompleted {
        /// The peer.
        peer: SocketAddrV4,
        /// Its records.
        records: Vec<MemberRecord>,
    },
    /// A peer pushed records in bulk after a sync.
    RecordsPushed {
        /// The peer.
        peer: SocketAddrV4,
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// A bulk sync failed or was declined.
    SyncFailed,
}

/// What a member should do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message in a datagram.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: PeerMessage,
    },
    /// Exchange bucket digests and records with a peer over a bulk connection.
    Sync {
        /// The peer.
        with: SocketAddrV4,
    },
    /// Send records to a peer over a bulk connection.
    Push {
        /// The peer.
        to: SocketAddrV4,
        /// The records.
        records: Vec<MemberRecord>,
    },
    /// Fetch the configuration from a peer.
    FetchVersion {
        /// The peer.
        from: SocketAddrV4,
    },
    /// Fetch the key ring from a peer.
    FetchKeys {
        /// The peer.
        from: SocketAddrV4,
    },
    /// The record of a member changed.
    MemberChanged(MemberKey),
    /// A member that was dead for long is no longer kept.
    MemberPruned(SocketAddrV4),
}
