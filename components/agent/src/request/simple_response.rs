//! Responses that the agent makes itself.

use bytes::Bytes;
use http::{
    header::{
        HeaderName,
        HeaderValue,
        RETRY_AFTER, //
    },
    Response,
    StatusCode, //
};

/// Response header with the outcome of the request: `not-run`, `unknown` or `done`.
pub(crate) const OUTCOME_HEADER: HeaderName = HeaderName::from_static("carobdrum-outcome");

/// Value of `Retry-After` in seconds for refused callers.
const RETRY_SECONDS: HeaderValue = HeaderValue::from_static("1");

/// What a response of the agent says about the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The request has not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Makes a response with a short text.
///
/// # Panics
///
/// Never: the headers are constants.
pub(crate) fn simple_response(
    status: StatusCode,
    state: RunState,
    text: &'static str,
) -> Response<Bytes> {
    let outcome = match state {
        RunState::NotRun => "not-run",
        RunState::Unknown => "unknown",
    };
    let mut response = Response::new(Bytes::from_static(text.as_bytes()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.insert(RETRY_AFTER, RETRY_SECONDS);
    }
    response
}
