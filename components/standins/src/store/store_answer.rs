//! Responses of the store and the parameters of its requests.

use std::time::Duration;

use bytes::Bytes;
use http::{
    Response,
    StatusCode, //
};
use http_body_util::Full;

/// Response of the store.
pub(crate) type StoreAnswer = Response<Full<Bytes>>;

/// Returns the value of a parameter, empty if it is named without one.
pub(crate) fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&');
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a span such as `10s`, `250ms` or `5m`.
pub(crate) fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_secs(count.checked_mul(60)?)),
        _ => None,
    }
}

/// Answers JSON with status 200.
pub(crate) fn json_answer(value: &serde_json::Value) -> StoreAnswer {
    let mut answer = respond(StatusCode::OK, Bytes::from(value.to_string()));
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

/// Answers a status with a reason.
pub(crate) fn text(status: StatusCode, reason: &'static str) -> StoreAnswer {
    respond(status, Bytes::from_static(reason.as_bytes()))
}

/// Answers a status with a body.
pub(crate) fn respond(status: StatusCode, body: Bytes) -> StoreAnswer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
