//! What to do with a caller's datagram.

use std::net::SocketAddrV4;

use carobdrum_core::connection::FlowId;
use carobdrum_wire::{
    HeaderError,
    OpenError, //
};
use prometheus_client::encoding::EncodeLabelValue;

/// What to do with a caller's datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Forward to the agent that owns the flow.
    Established(SocketAddrV4),
    /// Forward to the first candidate of a new flow.
    Placed {
        /// The first candidate.
        first: SocketAddrV4,
        /// The second candidate, if there is one.
        second: Option<SocketAddrV4>,
    },
    /// The flow's data centre was taken out; the caller may be told.
    Evacuated(FlowId),
    /// Drop and count.
    Drop(DropReason),
}

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelValue)]
pub enum DropReason {
    /// No QUIC packet that an agent could take.
    Malformed,
    /// A connection ID that is forged, random, or issued under a key that has expired.
    Unowned,
    /// A connection ID of another service.
    ForeignService,
    /// The flow's data centre was taken out.
    TakenOut,
    /// No target for a new flow.
    NoTarget,
    /// A tunnel datagram shorter than header and tag.
    Truncated,
    /// A tunnel datagram longer than any that a process sends.
    Oversized,
    /// A tunnel datagram of another format.
    UnknownFormat,
    /// A tunnel datagram of a kind that doesn't exist.
    UnknownKind,
    /// A tunnel datagram whose tag doesn't fit.
    Forged,
    /// A tunnel datagram that came before.
    Replayed,
    /// A tunnel datagram of a kind that balancers don't take.
    UnexpectedKind,
    /// An answer for a service address that isn't open here.
    NoAddress,
    /// The socket refused the datagram.
    SendFailed,
}

impl From<OpenError> for DropReason {
    fn from(error: OpenError) -> DropReason {
        match error {
            OpenError::BadHeader { source } => source.into(),
            OpenError::Forged => DropReason::Forged,
            OpenError::Replayed { .. } => DropReason::Replayed,
        }
    }
}

impl From<HeaderError> for DropReason {
    fn from(error: HeaderError) -> DropReason {
        match error {
            HeaderError::Truncated { .. } => DropReason::Truncated,
            HeaderError::Oversized { .. } => DropReason::Oversized,
            HeaderError::UnknownFormat { .. } => DropReason::UnknownFormat,
            HeaderError::UnknownKind { .. } => DropReason::UnknownKind,
        }
    }
}
