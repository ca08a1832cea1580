//! Headers of forwarded requests and responses.

use http::{
    header::{
        HeaderValue,
        CONNECTION,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    HeaderMap,
    HeaderName, //
};

/// Copies the headers without those that apply to one connection only (RFC 9110, section 7.6.1).
pub(super) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
    const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
    let mut filtered = headers.clone();
    for name in [
        CONNECTION,
        TRANSFER_ENCODING,
        UPGRADE,
        KEEP_ALIVE,
        PROXY_CONNECTION,
    ] {
        filtered.remove(name);
    }
    filtered
}

pub(super) fn insert_text(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
