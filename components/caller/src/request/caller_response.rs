//! An answer that arrived whole.

use bytes::Bytes;
use http::{
    HeaderMap,
    StatusCode, //
};

/// Header in which an agent says whether a failed request ran.
const OUTCOME_HEADER: &str = "carobdrum-outcome";
/// Header in which a backend server names itself.
const TARGET_HEADER: &str = "x-target";
/// Outcome of a request that certainly didn't run.
const NOT_RUN: &str = "not-run";
/// Outcome of a request that may have run.
const UNKNOWN: &str = "unknown";

/// A complete answer.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl CallerResponse {
    /// Returns whether the answer says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        self.header(OUTCOME_HEADER) == Some(NOT_RUN)
    }

    /// Returns whether the answer says that nobody knows whether the request ran.
    pub fn is_unknown(&self) -> bool {
        self.header(OUTCOME_HEADER) == Some(UNKNOWN)
    }

    /// Returns the name of the backend server that answered, if it gives one.
    pub fn target(&self) -> Option<&str> {
        self.header(TARGET_HEADER)
    }

    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
