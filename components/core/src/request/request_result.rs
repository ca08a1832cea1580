//! Result of a request that ran.

use crate::Millis;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The server responded with a status below 500.
    Success,
    /// The server responded with a 5xx status.
    ServerError,
    /// The server refused the connection.
    ConnectionRefused,
    /// The connection was reset before the response was complete.
    ConnectionReset,
    /// The deadline passed before the response was complete.
    TimedOut,
    /// The caller gave up; this says nothing about the server.
    Abandoned,
}

impl RequestOutcome {
    /// Returns whether the outcome counts as a failure of the server.
    pub fn is_failure(self) -> bool {
        !matches!(self, RequestOutcome::Success | RequestOutcome::Abandoned)
    }
}

/// Result of a request that ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestResult {
    /// Time from the start until the response head, so that it doesn't depend on the body's length.
    pub latency: Millis,
    /// How the request ended.
    pub outcome: RequestOutcome,
}
