//! A request as the caller sends it.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method, //
};

/// Time limit of a request that sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// One request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Request method.
    pub method: Method,
    /// Path and query.
    pub path: CompactString,
    /// Header fields besides `content-length`, which follows from the body.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Longest time from sending until the whole answer is received.
    pub timeout: Duration,
}

impl CallerRequest {
    /// Creates a GET request.
    pub fn get(path: impl Into<CompactString>) -> CallerRequest {
        CallerRequest {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Creates a POST request.
    pub fn post(path: impl Into<CompactString>, body: impl Into<Bytes>) -> CallerRequest {
        CallerRequest {
            method: Method::POST,
            body: body.into(),
            ..CallerRequest::get(path)
        }
    }

    /// Adds a header field.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> CallerRequest {
        self.headers.append(name, value);
        self
    }

    /// Sets the time limit.
    pub fn timeout(mut self, timeout: Duration) -> CallerRequest {
        self.timeout = timeout;
        self
    }

    /// Returns whether RFC 9110 lets the request run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }
}
