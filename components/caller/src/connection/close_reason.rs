//! Reasons why a connection ended.

use std::fmt;

use h3::error::Code;

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The peer has no state for the connection and sent a stateless reset.
    StatelessReset,
    /// No packet was received within the idle timeout.
    TimedOut,
    /// The peer's application closed the connection.
    ClosedByPeer {
        /// The HTTP/3 error code.
        code: u64,
    },
    /// The peer's QUIC stack closed the connection.
    ClosedByTransport {
        /// The QUIC error code.
        code: u64,
    },
    /// The caller closed the connection.
    ClosedLocally,
    /// The caller's QUIC or HTTP/3 library detected a protocol violation.
    ProtocolViolation {
        /// What the library reports.
        reason: String,
    },
}

impl CloseReason {
    /// Returns the name under which reports count the reason.
    pub fn label(&self) -> &'static str {
        match self {
            CloseReason::StatelessReset => "stateless_reset",
            CloseReason::TimedOut => "timed_out",
            CloseReason::ClosedByPeer { .. } => "closed_by_peer",
            CloseReason::ClosedByTransport { .. } => "closed_by_transport",
            CloseReason::ClosedLocally => "closed_here",
            CloseReason::ProtocolViolation { .. } => "protocol_violation",
        }
    }

    /// Returns whether the peer closed the connection with `H3_NO_ERROR`, as after a GOAWAY.
    pub fn is_graceful(&self) -> bool {
        let no_error = Code::H3_NO_ERROR.value();
        matches!(self, CloseReason::ClosedByPeer { code } if *code == no_error)
    }
}

impl From<quinn::ConnectionError> for CloseReason {
    fn from(error: quinn::ConnectionError) -> CloseReason {
        match error {
            quinn::ConnectionError::Reset => CloseReason::StatelessReset,
            quinn::ConnectionError::TimedOut => CloseReason::TimedOut,
            quinn::ConnectionError::LocallyClosed => CloseReason::ClosedLocally,
            quinn::ConnectionError::ApplicationClosed(close) => CloseReason::ClosedByPeer {
                code: close.error_code.into_inner(),
            },
            quinn::ConnectionError::ConnectionClosed(close) => CloseReason::ClosedByTransport {
                code: u64::from(close.error_code),
            },
            other => CloseReason::ProtocolViolation {
                reason: other.to_string(),
            },
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CloseReason::StatelessReset => f.write_str("stateless reset"),
            CloseReason::TimedOut => f.write_str("idle timeout"),
            CloseReason::ClosedByPeer { code } => {
                write!(f, "closed by the peer with {:?}", Code::from(*code))
            }
            CloseReason::ClosedByTransport { code } => {
                write!(f, "closed by the peer's QUIC stack with error {code:#x}")
            }
            CloseReason::ClosedLocally => f.write_str("closed by the caller"),
            CloseReason::ProtocolViolation { reason } => write!(f, "protocol violation: {reason}"),
        }
    }
}
