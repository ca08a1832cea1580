//! Errors of flows and requests.

use std::net::SocketAddr;

use h3::error::Code;
use snafu::Snafu;

use crate::connection::CloseReason;

/// Reasons why a flow can't be opened or a request got no complete response.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum CallerError {
    /// The service refused the connection.
    #[snafu(display("{address} refused the connection"))]
    Refused {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The service didn't complete the handshake before the timeout.
    #[snafu(display("{address} didn't complete the handshake within {timeout_ms} ms"))]
    HandshakeTimeout {
        /// Address of the service.
        address: SocketAddr,
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The handshake failed for another reason, such as an untrusted certificate.
    #[snafu(display("handshake with {address} failed: {reason}"))]
    HandshakeFailed {
        /// Address of the service.
        address: SocketAddr,
        /// What the QUIC library reports.
        reason: String,
    },
    /// The connection ended while HTTP/3 was starting, or before the response was complete.
    #[snafu(display("connection lost: {cause}"))]
    ConnectionLost {
        /// Why the connection ended.
        cause: CloseReason,
    },
    /// The connection ended before the whole request head was sent, so the request didn't run.
    #[snafu(display("connection ended before the request was sent: {cause}"))]
    FlowEnded {
        /// Why the connection ended.
        cause: CloseReason,
    },
    /// The service rejected the request without processing it (`H3_REQUEST_REJECTED`).
    #[snafu(display("request rejected by the service without being processed"))]
    RequestRejected,
    /// The service sent GOAWAY, so the request wasn't sent on this flow.
    #[snafu(display("the service sent GOAWAY and accepts no new requests on this flow"))]
    GoingAway,
    /// The service reset the request's stream.
    #[snafu(display("request stream reset with {:?}", Code::from(*code)))]
    StreamReset {
        /// HTTP/3 error code of the reset.
        code: u64,
    },
    /// The response wasn't complete before the request's timeout.
    #[snafu(display("no complete response within {timeout_ms} ms"))]
    DeadlinePassed {
        /// The timeout, in milliseconds.
        timeout_ms: u64,
    },
    /// The body ended before its declared length.
    #[snafu(display("body truncated: got {received} of {declared} declared bytes"))]
    BodyTooShort {
        /// Value of `content-length`, in bytes.
        declared: u64,
        /// Bytes received.
        received: u64,
    },
    /// The body exceeded its declared length.
    #[snafu(display("body too long: got at least {received} bytes, {declared} declared"))]
    BodyTooLong {
        /// Value of `content-length`, in bytes.
        declared: u64,
        /// Bytes received so far.
        received: u64,
    },
    /// The body exceeds the size that a caller buffers.
    #[snafu(display("body exceeds the limit of {limit} bytes"))]
    BodyTooLarge {
        /// The limit, in bytes.
        limit: usize,
    },
    /// The response isn't valid HTTP/3.
    #[snafu(display("malformed response: {reason}"))]
    MalformedResponse {
        /// What is malformed.
        reason: String,
    },
    /// The request's path or headers don't form a valid HTTP request.
    #[snafu(display("invalid request: {source}"))]
    BadRequest {
        /// What the `http` crate reports.
        source: http::Error,
    },
}

impl CallerError {
    /// Returns whether the request certainly didn't run, so that it may be retried even if it isn't
    /// idempotent.
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

    /// Returns the name under which reports count the error.
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
