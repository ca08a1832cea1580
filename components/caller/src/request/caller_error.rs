//! Reasons why a request has no answer.

use std::net::SocketAddr;

use h3::error::Code;
use snafu::Snafu;

use crate::connection::CloseReason;

/// Reasons why a flow isn't opened or a request has no complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallerError {
    /// The service refused the connection.
    #[snafu(display("{address} refused the connection"))]
    Refused {
        /// The service.
        address: SocketAddr,
    },
    /// The service didn't complete the handshake in time.
    #[snafu(display("{address} didn't complete the handshake in {after_ms} ms"))]
    HandshakeTimeout {
        /// The service.
        address: SocketAddr,
        /// The limit.
        after_ms: u64,
    },
    /// The handshake failed otherwise, for instance at the certificate.
    #[snafu(display("the handshake with {address} failed: {reason}"))]
    HandshakeFailed {
        /// The service.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The connection ended before the answer was complete.
    #[snafu(display("the connection was lost: {cause}"))]
    ConnectionLost {
        /// Why it ended.
        cause: CloseReason,
    },
    /// The connection ended before the request was sent.
    #[snafu(display("the connection ended before the request was sent: {cause}"))]
    FlowEnded {
        /// Why it ended.
        cause: CloseReason,
    },
    /// The service rejected the request without processing it.
    #[snafu(display("the request was rejected without being processed"))]
    RequestRejected,
    /// The service announced that it takes no new requests on the flow; this one wasn't sent.
    #[snafu(display("the service takes no new requests on this flow"))]
    GoingAway,
    /// The service ended the stream of the request.
    #[snafu(display("the stream was reset with {:?}", Code::from(*code)))]
    StreamReset {
        /// The HTTP/3 error code.
        code: u64,
    },
    /// The answer wasn't complete in time.
    #[snafu(display("no complete answer in {after_ms} ms"))]
    DeadlinePassed {
        /// The limit.
        after_ms: u64,
    },
    /// The body ended before its announced length.
    #[snafu(display("the body has {received} bytes; announced: {announced}"))]
    BodyTooShort {
        /// Length in the answer's head.
        announced: u64,
        /// Length received.
        received: u64,
    },
    /// The body went on beyond its announced length.
    #[snafu(display("the body has at least {received} bytes; announced: {announced}"))]
    BodyTooLong {
        /// Length in the answer's head.
        announced: u64,
        /// Length received so far.
        received: u64,
    },
    /// The body is longer than a caller keeps.
    #[snafu(display("the body is longer than {limit} bytes"))]
    BodyTooLarge {
        /// The limit.
        limit: usize,
    },
    /// The answer isn't valid HTTP/3.
    #[snafu(display("malformed answer: {reason}"))]
    MalformedResponse {
        /// What is wrong.
        reason: String,
    },
    /// The request can't be sent in this form.
    #[snafu(display("the request can't be sent: {source}"))]
    BadRequest {
        /// What is wrong.
        source: http::Error,
    },
}

impl CallerError {
    /// Returns whether the request certainly didn't run, so that it may be repeated even when it
    /// isn't idempotent.
    pub fn is_not_run(&self) -> bool {
        match self {
            CallerError::Refused { .. }
            | CallerError::HandshakeTimeout { .. }
            | CallerError::HandshakeFailed { .. }
            | CallerError::FlowEnded { .. }
            | CallerError::RequestRejected
            | CallerError::GoingAway
            | CallerError::BadRequest { .. } => true,
            CallerError::ConnectionLost { .. }
            | CallerError::StreamReset { .. }
            | CallerError::DeadlinePassed { .. }
            | CallerError::BodyTooShort { .. }
            | CallerError::BodyTooLong { .. }
            | CallerError::BodyTooLarge { .. }
            | CallerError::MalformedResponse { .. } => false,
        }
    }

    /// Returns the label of the error in reports.
    pub fn label(&self) -> &'static str {
        match self {
            CallerError::Refused { .. } => "refused",
            CallerError::HandshakeTimeout { .. } => "handshake_timeout",
            CallerError::HandshakeFailed { .. } => "handshake_failed",
            CallerError::ConnectionLost { cause } => cause.label(),
            CallerError::FlowEnded { .. } => "flow_ended",
            CallerError::RequestRejected => "request_rejected",
            CallerError::GoingAway => "going_away",
            CallerError::StreamReset { .. } => "stream_reset",
            CallerError::DeadlinePassed { .. } => "deadline_passed",
            CallerError::BodyTooShort { .. } => "body_too_short",
            CallerError::BodyTooLong { .. } => "body_too_long",
            CallerError::BodyTooLarge { .. } => "body_too_large",
            CallerError::MalformedResponse { .. } => "malformed_answer",
            CallerError::BadRequest { .. } => "bad_request",
        }
    }
}
