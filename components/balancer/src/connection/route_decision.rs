//! Decision about a caller's datagram.

use std::net::SocketAddrV4;

use carobdrum_core::connection::FlowId;
use carobdrum_wire::{
    HeaderError,
    OpenError, //
};
use prometheus_client::encoding::EncodeLabelValue;

/// Decision about a caller's datagram.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteDecision {
    /// Forward it to the agent that owns its established flow.
    Established(SocketAddrV4),
    /// Forward it to the first candidate of a new flow.
    Placed {
        /// Tunnel address of the first candidate.
        first: SocketAddrV4,
        /// Tunnel address of the second candidate; `None` if the service has one target only.
        second: Option<SocketAddrV4>,
    },
    /// Drop it, because the flow's data centre is evacuated; a stateless reset may be sent to the
    /// caller.
    Evacuated(FlowId),
    /// Drop it and count the reason.
    Drop(DropReason),
}

/// Reason why a datagram is dropped; a label value of the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, EncodeLabelValue)]
pub enum DropReason {
    /// Not a QUIC packet that an agent could accept.
    Malformed,
    /// The connection ID was not issued by the system, or was issued under a key that has expired.
    Unowned,
    /// The connection ID belongs to a flow of another service.
    ForeignService,
    /// The flow's data centre is evacuated.
    TakenOut,
    /// The service has no target for a new flow.
    NoTarget,
    /// A tunnel datagram that is shorter than header and tag.
    Truncated,
    /// A tunnel datagram that is longer than the maximum length.
    Oversized,
    /// A tunnel datagram with an unknown format version.
    UnknownFormat,
    /// A tunnel datagram of an unknown kind.
    UnknownKind,
    /// A tunnel datagram whose authentication tag is wrong.
    Forged,
    /// A tunnel datagram that was received before.
    Replayed,
    /// A tunnel datagram of a kind that isn't sent to balancers.
    UnexpectedKind,
    /// A response from a service address that isn't open at this balancer.
    NoAddress,
    /// The socket failed to send the datagram.
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
