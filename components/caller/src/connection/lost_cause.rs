//! Causes that end a connection.

use std::fmt;

use h3::error::Code;

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LostCause {
    /// The peer has no state of the connection and sent a stateless reset.
    StatelessReset,
    /// Nothing was received for the idle timeout.
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
    /// The caller closed the connection itself.
    ClosedHere,
    /// One end violated the protocol, as seen by the caller.
    ProtocolViolation {
        /// What was violated.
        reason: String,
    },
}

impl LostCause {
    /// Returns the label of the cause in reports.
    pub fn label(&self) -> &'static str {
        match self {
            LostCause::StatelessReset => "stateless_reset",
            LostCause::TimedOut => "timed_out",
            LostCause::ClosedByPeer { .. } => "closed_by_peer",
            LostCause::ClosedByTransport { .. } => "closed_by_transport",
            LostCause::ClosedHere => "closed_here",
            LostCause::ProtocolViolation { .. } => "protocol_violation",
        }
    }

    /// Returns whether the peer closed the connection without an error, as after a GOAWAY.
    pub fn is_graceful(&self) -> bool {
        let no_error = Code::H3_NO_ERROR.value();
        matches!(self, LostCause::ClosedByPeer { code } if *code == no_error)
    }
}

impl From<quinn::ConnectionError> for LostCause {
    fn from(error: quinn::ConnectionError) -> LostCause {
        match error {
            quinn::ConnectionError::Reset => LostCause::StatelessReset,
            quinn::ConnectionError::TimedOut => LostCause::TimedOut,
            quinn::ConnectionError::LocallyClosed => LostCause::ClosedHere,
            quinn::ConnectionError::ApplicationClosed(close) => LostCause::ClosedByPeer {
                code: close.error_code.into_inner(),
            },
            quinn::ConnectionError::ConnectionClosed(close) => LostCause::ClosedByTransport {
                code: u64::from(close.error_code),
            },
            other => LostCause::ProtocolViolation {
                reason: other.to_string(),
            },
        }
    }
}

impl fmt::Display for LostCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LostCause::StatelessReset => f.write_str("stateless reset"),
            LostCause::TimedOut => f.write_str("idle timeout"),
            LostCause::ClosedByPeer { code } => {
                write!(f, "closed by the peer with {:?}", Code::from(*code))
            }
            LostCause::ClosedByTransport { code } => {
                write!(f, "closed by the peer's QUIC stack with error {code:#x}")
            }
            LostCause::ClosedHere => f.write_str("closed by the caller"),
            LostCause::ProtocolViolation { reason } => write!(f, "protocol violation: {reason}"),
        }
    }
}
