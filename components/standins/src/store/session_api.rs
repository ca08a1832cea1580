//! The session endpoints of the store's HTTP API.

use std::time::Duration;

use compact_str::CompactString;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::{
    kv_state::{
        KvState,
        SessionBehavior,
        SessionEntry, //
    },
    store_response::{
        json_response,
        parse_duration,
        text_response,
        StoreResponse, //
    },
    store_shared::StoreShared,
};

/// Longest time to live of a session, as in Consul.
const MAX_TTL: Duration = Duration::from_secs(86_400);
/// Lock delay of a session that doesn't set one, as in Consul.
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

/// Body of a request that creates a session.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: CompactString,
    behavior: CompactString,
    lock_delay: CompactString,
}

/// Creates, renews or destroys a session.
pub(crate) fn handle_session_request(
    shared: &StoreShared,
    operation: &str,
    body: &[u8],
) -> StoreResponse {
    shared.change(|state| {
        state.counts.session_requests += 1;
        match operation.split_once('/') {
            None if operation == "create" => create_session(&mut state.keys, state.min_ttl, body),
            Some(("renew", id)) => renew_session(&mut state.keys, id),
            Some(("destroy", id)) => {
                state.keys.end_session(id, false, Instant::now());
                json_response(&json!(true))
            }
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    })
}

fn create_session(keys: &mut KvState, min_ttl: Duration, body: &[u8]) -> StoreResponse {
    let parsed = match body {
        [] => Ok(SessionRequest::default()),
        body => serde_json::from_slice(body),
    };
    let Ok(request) = parsed else {
        return text_response(StatusCode::BAD_REQUEST, "request decode failed");
    };
    let ttl = match request.ttl.as_str() {
        "" => None,
        duration => match parse_duration(duration) {
            Some(ttl) if (min_ttl..=MAX_TTL).contains(&ttl) => Some(ttl),
            _ => return text_response(StatusCode::BAD_REQUEST, "invalid session TTL"),
        },
    };
    let behavior = match request.behavior.as_str() {
        "" | "release" => SessionBehavior::Release,
        "delete" => SessionBehavior::Delete,
        _ => return text_response(StatusCode::BAD_REQUEST, "invalid behavior"),
    };
    let lock_delay = parse_duration(&request.lock_delay).unwrap_or(DEFAULT_LOCK_DELAY);
    let id = keys.create_session(ttl, behavior, lock_delay, Instant::now());
    json_response(&json!({ "ID": id }))
}

fn renew_session(keys: &mut KvState, id: &str) -> StoreResponse {
    match keys.renew_session(id, Instant::now()) {
        Some(session) => json_response(&json!([session_json(session)])),
        None => text_response(StatusCode::NOT_FOUND, "session not found"),
    }
}

fn session_json(session: &SessionEntry) -> serde_json::Value {
    let behavior = match session.behavior {
        SessionBehavior::Release => "release",
        SessionBehavior::Delete => "delete",
    };
    let ttl = session.ttl.map(|ttl| format!("{}s", ttl.as_secs()));
    json!({
        "ID": session.id,
        "TTL": ttl.unwrap_or_default(),
        "Behavior": behavior,
        "LockDelay": session.lock_delay.as_nanos() as u64,
    })
}
