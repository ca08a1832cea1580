//! A complete response.

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};

/// Header in which an agent reports whether a failed request ran.
const OUTCOME_HEADER: &str = "carobdrum-outcome";
/// Header with the name of the backend server.
const TARGET_HEADER: &str = "x-target";
/// Outcome of a request that certainly didn't run.
const NOT_RUN: &str = "not-run";
/// Outcome of a request that may have run.
const UNKNOWN: &str = "unknown";

/// A response that was received in full.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns whether the agent reports that the request wasn't run.
    pub fn is_not_run(&self) -> bool {
        self.header(OUTCOME_HEADER) == Some(NOT_RUN)
    }

    /// Returns whether the agent reports that it isn't known whether the request ran.
    pub fn is_unknown(&self) -> bool {
        self.header(OUTCOME_HEADER) == Some(UNKNOWN)
    }

    /// Returns the name of the backend server, or `None` if the response doesn't contain it.
    pub fn target(&self) -> Option<&str> {
        self.header(TARGET_HEADER)
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
