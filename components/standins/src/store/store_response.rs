//! Responses of the store and parsing of query parameters.

use std::time::Duration;

use bytes::Bytes;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::Full;

/// Response of the store.
pub(crate) type StoreResponse = Response<Full<Bytes>>;

/// Returns the value of a query parameter, empty if it has none; `None` if it is absent.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&');
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a duration such as `10s`, `250ms` or `5m`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_secs(count.checked_mul(60)?)),
        _ => None,
    }
}

/// Returns a response with a JSON body and status 200.
pub(crate) fn json_response(value: &serde_json::Value) -> StoreResponse {
    let mut response = respond(StatusCode::OK, Bytes::from(value.to_string()));
    let kind = http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    response
}

/// Returns a response with a status and a reason in plain text.
pub(crate) fn text_response(status: StatusCode, reason: &'static str) -> StoreResponse {
    respond(status, Bytes::from_static(reason.as_bytes()))
}

/// Returns a response with a status and a body.
pub(crate) fn respond(status: StatusCode, body: Bytes) -> StoreResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
