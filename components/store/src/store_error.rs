//! Errors of requests to the store.

use std::{
    net::SocketAddr,
    time::Duration, //
};

use carobdrum_core::version::TableError;
use compact_str::CompactString;
use http::StatusCode;
use snafu::Snafu;

/// Reasons why a request to the store, or the application of an edit, fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// No connection could be made; nothing was sent.
    #[snafu(display("connecting to store {address} failed: {source}"))]
    Connect {
        /// Address of the store.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// No complete response came in time; a write may have taken effect.
    #[snafu(display("no response of store {address} within {timeout:?}"))]
    Timeout {
        /// Address of the store.
        address: SocketAddr,
        /// Time limit of the request.
        timeout: Duration,
    },
    /// The connection broke; a write may have taken effect.
    #[snafu(display("connection to store {address} broke: {source}"))]
    Broken {
        /// Address of the store.
        address: SocketAddr,
        /// Error of the HTTP client.
        source: hyper::Error,
    },
    /// The store responded with a server error or status 429; a write may have taken effect.
    #[snafu(display("the store failed with status {status}: {reason}"))]
    Unavailable {
        /// Status of the response.
        status: StatusCode,
        /// Start of its body.
        reason: CompactString,
    },
    /// The store rejected the request, which had no effect.
    #[snafu(display("the store rejected the request with status {status}: {reason}"))]
    Rejected {
        /// Status of the response.
        status: StatusCode,
        /// Start of its body.
        reason: CompactString,
    },
    /// The session doesn't exist any more; a new one is needed.
    #[snafu(display("the store doesn't know the session"))]
    SessionLost,
    /// The body of a response is longer than any that the store should send.
    #[snafu(display("the store's response is longer than {limit} bytes"))]
    ResponseTooLong {
        /// The limit, in bytes.
        limit: usize,
    },
    /// A response isn't JSON of the expected form.
    #[snafu(display("malformed response of the store: {source}"))]
    MalformedResponse {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A response has no valid `X-Consul-Index` header.
    #[snafu(display("the store's response has no valid X-Consul-Index header"))]
    MissingIndex,
    /// A value isn't base64.
    #[snafu(display("{key}: the value isn't valid base64: {source}"))]
    InvalidValue {
        /// Key of the value.
        key: CompactString,
        /// Error of the decoder.
        source: base64::DecodeError,
    },
    /// A stored version isn't a document of the expected form.
    #[snafu(display("{key}: the value isn't a configuration version: {source}"))]
    MalformedVersion {
        /// Key of the version.
        key: CompactString,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A value is longer than the store allows; it wasn't sent.
    #[snafu(display("{key}: found {len} bytes; allowed: at most {limit}"))]
    ValueTooLarge {
        /// Key of the value.
        key: CompactString,
        /// Length of the value, in bytes.
        len: usize,
        /// Longest allowed length, in bytes.
        limit: usize,
    },
    /// A key has a character that isn't allowed in a request path; nothing was sent.
    #[snafu(display("key `{key}` is invalid; allowed: letters, digits, `-`, `_`, `.` and `/`"))]
    InvalidKey {
        /// Key with the prefix of the deployment, or the request path.
        key: CompactString,
    },
    /// The edited tables are invalid; nothing was written.
    #[snafu(display("{source}"))]
    InvalidTables {
        /// Fault in the tables.
        source: TableError,
    },
    /// The store doesn't have the version.
    #[snafu(display("version {number} isn't in the history"))]
    NoSuchVersion {
        /// Number of the version.
        number: u32,
    },
    /// The history already has a different document under the number of the version in force.
    #[snafu(display("version {number} in the history differs from version {number} in force"))]
    HistoryMismatch {
        /// Number of the version.
        number: u32,
    },
    /// Another writer changed the key during the attempt.
    #[snafu(display("{key}: changed by another writer during the attempt"))]
    Contended {
        /// Key that was to be written.
        key: CompactString,
    },
    /// It is unknown whether the edit took effect.
    #[snafu(display("it is unknown whether edit {edit_id} took effect: {source}"))]
    OutcomeUnknown {
        /// Id of the edit; applying it again under this id makes no second version.
        edit_id: CompactString,
        /// Error of the last attempt.
        source: Box<StoreError>,
    },
}

impl StoreError {
    /// Returns whether the same request may succeed later without a change by its author.
    pub fn is_retryable(&self) -> bool {
        match self {
            StoreError::Connect { .. }
            | StoreError::Timeout { .. }
            | StoreError::Broken { .. }
            | StoreError::Unavailable { .. }
            | StoreError::MalformedResponse { .. }
            | StoreError::MissingIndex
            | StoreError::InvalidValue { .. }
            | StoreError::Contended { .. }
            | StoreError::OutcomeUnknown { .. } => true,
            StoreError::Rejected { .. }
            | StoreError::SessionLost
            | StoreError::ResponseTooLong { .. }
            | StoreError::MalformedVersion { .. }
            | StoreError::ValueTooLarge { .. }
            | StoreError::InvalidKey { .. }
            | StoreError::InvalidTables { .. }
            | StoreError::NoSuchVersion { .. }
            | StoreError::HistoryMismatch { .. } => false,
        }
    }

    /// Returns whether a write that failed with this error certainly had no effect.
    pub fn had_no_effect(&self) -> bool {
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
