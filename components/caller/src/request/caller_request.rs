//! A request to be sent on a flow.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http::{
    HeaderMap,
    HeaderName,
    HeaderValue,
    Method, //
};

/// Timeout of a request that doesn't set its own.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to be sent on a flow.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, as in `/bytes/10?seed=1`.
    pub path: CompactString,
    /// Header fields except `content-length`, which is computed from the body.
    pub headers: HeaderMap,
    /// The whole body; may be empty.
    pub body: Bytes,
    /// Longest time from sending until the whole response is received; 30 s by default.
    pub timeout: Duration,
}

impl CallerRequest {
    /// Creates a GET request without a body.
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

    /// Adds a header field; fields of the same name are kept.
    pub fn header(mut self, name: HeaderName, value: HeaderValue) -> CallerRequest {
        self.headers.append(name, value);
        self
    }

    /// Sets the time after which the request fails unless its response is complete.
    pub fn timeout(mut self, timeout: Duration) -> CallerRequest {
        self.timeout = timeout;
        self
    }

    /// Returns whether the method is idempotent (RFC 9110), so the request may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.method.is_idempotent()
    }
}
