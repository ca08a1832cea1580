//! The part of the API for sessions.

use std::time::Duration;

use compact_str::CompactString;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;
use tokio::time::Instant;

use super::{
    kv_state::{
        KvState,
        LeaseBehavior,
        LeaseEntry, //
    },
    store_answer::{
        json_answer,
        parse_span,
        text,
        StoreAnswer, //
    },
    store_shared::StoreShared,
};

/// Longest time to live of a session and the default lock delay; Consul's values.
const MAX_TTL: Duration = Duration::from_secs(86_400);
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

/// Body of a request for a session.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: CompactString,
    behavior: CompactString,
    lock_delay: CompactString,
}

/// Creates, renews or destroys a session.
pub(crate) fn answer_session(shared: &StoreShared, call: &str, body: &[u8]) -> StoreAnswer {
    shared.change(|state| {
        state.counts.session_calls += 1;
        match call.split_once('/') {
            None if call == "create" => create_session(&mut state.keys, state.min_ttl, body),
            Some(("renew", id)) => renew_session(&mut state.keys, id),
            Some(("destroy", id)) => {
                state.keys.end_lease(id, false, Instant::now());
                json_answer(&json!(true))
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    })
}

fn create_session(keys: &mut KvState, min_ttl: Duration, body: &[u8]) -> StoreAnswer {
    let parsed = match body {
        [] => Ok(SessionRequest::default()),
        body => serde_json::from_slice(body),
    };
    let Ok(wish) = parsed else {
        return text(StatusCode::BAD_REQUEST, "request decode failed");
    };
    let ttl = match wish.ttl.as_str() {
        "" => None,
        span => match parse_span(span) {
            Some(ttl) if (min_ttl..=MAX_TTL).contains(&ttl) => Some(ttl),
            _ => return text(StatusCode::BAD_REQUEST, "invalid session TTL"),
        },
    };
    let behavior = match wish.behavior.as_str() {
        "" | "release" => LeaseBehavior::Release,
        "delete" => LeaseBehavior::Delete,
        _ => return text(StatusCode::BAD_REQUEST, "invalid behavior"),
    };
    let lock_delay = parse_span(&wish.lock_delay).unwrap_or(DEFAULT_LOCK_DELAY);
    let id = keys.create_lease(ttl, behavior, lock_delay, Instant::now());
    json_answer(&json!({ "ID": id }))
}

fn renew_session(keys: &mut KvState, id: &str) -> StoreAnswer {
    match keys.renew_lease(id, Instant::now()) {
        Some(lease) => json_answer(&json!([lease_json(lease)])),
        None => text(StatusCode::NOT_FOUND, "session not found"),
    }
}

fn lease_json(lease: &LeaseEntry) -> serde_json::Value {
    let behavior = match lease.behavior {
        LeaseBehavior::Release => "release",
        LeaseBehavior::Delete => "delete",
    };
    let ttl = lease.ttl.map(|ttl| format!("{}s", ttl.as_secs()));
    json!({
        "ID": lease.id,
        "TTL": ttl.unwrap_or_default(),
        "Behavior": behavior,
        "LockDelay": lease.lock_delay.as_nanos() as u64,
    })
}
