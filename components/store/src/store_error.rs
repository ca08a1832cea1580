//! Reasons why a call of the store fails.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use carobdrum_core::version::TableError;
use compact_str::CompactString;
use http::StatusCode;
use snafu::Snafu;

/// Reasons why a call of the store fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("store {address}: no connection: {source}"))]
    Connect {
        /// Address of the store.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No complete response came in time; a write may have taken effect.
    #[snafu(display("store {address}: no response within {timeout:?}"))]
    Timeout {
        /// Address of the store.
        address: SocketAddr,
        /// How long was waited.
        timeout: Duration,
    },
    /// The connection broke; a write may have taken effect.
    #[snafu(display("store {address}: the connection broke: {source}"))]
    Broken {
        /// Address of the store.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
    /// The store failed; a write may have taken effect.
    #[snafu(display("the store failed with status {status}: {reason}"))]
    Unavailable {
        /// Status of the response.
        status: StatusCode,
        /// Start of its body.
        reason: CompactString,
    },
    /// The store refused the call.
    #[snafu(display("the store refused the call with status {status}: {reason}"))]
    Rejected {
        /// Status of the response.
        status: StatusCode,
        /// Start of its body.
        reason: CompactString,
    },
    /// The session doesn't exist; a new one is needed.
    #[snafu(display("the session is unknown to the store"))]
    SessionLost,
    /// The body of a response is longer than any that the store should send.
    #[snafu(display("the response is longer than {limit} bytes"))]
    LongAnswer {
        /// The limit, in bytes.
        limit: usize,
    },
    /// A response isn't JSON of the right shape.
    #[snafu(display("malformed response of the store: {source}"))]
    MalformedResponse {
        /// What the parser reports.
        source: serde_json::Error,
    },
    /// A response has no `X-Consul-Index`.
    #[snafu(display("the response has no valid X-Consul-Index"))]
    MissingIndex,
    /// A value isn't base64.
    #[snafu(display("{key}: the value isn't base64: {source}"))]
    BadValue {
        /// The key.
        key: CompactString,
        /// What the decoder reports.
        source: base64::DecodeError,
    },
    /// A stored version isn't a document of the right shape.
    #[snafu(display("{key}: not a version: {source}"))]
    MalformedVersion {
        /// The key.
        key: CompactString,
        /// What the parser reports.
        source: serde_json::Error,
    },
    /// A value is larger than the store takes; it wasn't sent.
    #[snafu(display("{key}: found {len} bytes; allowed: at most {limit}"))]
    ValueTooLarge {
        /// The key.
        key: CompactString,
        /// Length of the value, in bytes.
        len: usize,
        /// Largest length, in bytes.
        limit: usize,
    },
    /// A key can't stand in a request path.
    #[snafu(display("key `{key}`; allowed: letters, digits, `-`, `_`, `.` and `/`"))]
    InvalidKey {
        /// The key.
        key: CompactString,
    },
    /// The edited tables are wrong.
    #[snafu(display("{source}"))]
    InvalidTables {
        /// What is wrong.
        source: TableError,
    },
    /// The store doesn't have the version.
    #[snafu(display("version {number} isn't in the history"))]
    NoSuchVersion {
        /// Number of the version.
        number: u32,
    },
    /// The history has another document under the number of the version in force.
    #[snafu(display("the history has another version {number} than the one in force"))]
    HistoryMismatch {
        /// Number of the version.
        number: u32,
    },
    /// The key changed during each attempt.
    #[snafu(display("{key}: changed by others during each attempt"))]
    Contended {
        /// The key.
        key: CompactString,
    },
    /// Whether the edit took effect couldn't be found out.
    #[snafu(display("edit {edit_id}: unknown whether it took effect: {source}"))]
    OutcomeUnknown {
        /// Id of the edit, under which it can be applied again without harm.
        edit_id: CompactString,
        /// The last failure.
        source: Box<StoreError>,
    },
}

impl StoreError {
    /// Returns whether the same call may succeed later without a change by its author.
    pub fn is_retryable(&self) -> bool {
        match self {
            StoreError::Connect { .. }
            | StoreError::Timeout { .. }
            | StoreError::Broken { .. }
            | StoreError::Unavailable { .. }
            | StoreError::MalformedResponse { .. }
            | StoreError::MissingIndex
            | StoreError::BadValue { .. }
            | StoreError::Contended { .. }
            | StoreError::OutcomeUnknown { .. } => true,
            StoreError::Rejected { .. }
            | StoreError::SessionLost
            | StoreError::LongAnswer { .. }
            | StoreError::MalformedVersion { .. }
            | StoreError::ValueTooLarge { .. }
            | StoreError::InvalidKey { .. }
            | StoreError::InvalidTables { .. }
            | StoreError::NoSuchVersion { .. }
            | StoreError::HistoryMismatch { .. } => false,
        }
    }

    /// Returns whether a write that failed so certainly had no effect.
    pub fn is_without_effect(&self) -> bool {
        matches!(
            self,
            StoreError::Connect { .. }
                | StoreError::Rejected { .. }
                | StoreError::SessionLost
                | StoreError::ValueTooLarge { .. }
                | StoreError::InvalidKey { .. }
                | StoreError::InvalidTables { .. }
                | StoreError::NoSuchVersion { .. }
                | StoreError::HistoryMismatch { .. }
        )
    }
}
