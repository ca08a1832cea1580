//! The key endpoints of the store's HTTP API.

use std::time::Duration;

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use compact_str::CompactString;
use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;

use super::{
    kv_state::{
        KeyEntry,
        KvState,
        WriteCondition, //
    },
    store_response::{
        json_response,
        parse_duration,
        query_value,
        respond,
        text_response,
        StoreResponse, //
    },
    store_shared::{
        StoreShared,
        StoreState, //
    },
};

/// Longest wait of a blocking query, as in Consul.
const MAX_WAIT: Duration = Duration::from_secs(600);
/// Wait of a blocking query that doesn't set one, as in Consul.
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Returns the entry of a key or the entries under a prefix, at once or after a change.
pub(crate) async fn read_kv(shared: &StoreShared, key: &str, query: &str) -> StoreResponse {
    let recurse = query_value(query, "recurse").is_some();
    let index_of = |state: &StoreState| match recurse {
        true => state.keys.prefix_index(key),
        false => state.keys.key_index(key),
    };
    let known_index = query_value(query, "index").and_then(|index| index.parse().ok());
    if let Some(known_index) = known_index {
        let wait = query_value(query, "wait").and_then(parse_duration);
        wait_for_change(shared, known_index, wait.unwrap_or(DEFAULT_WAIT), index_of).await;
    }
    let mut state = shared.lock();
    state.counts.reads += 1;
    if let Some(body) = state.faults.take_corrupted_read() {
        return respond(StatusCode::OK, body);
    }
    let entries = match recurse {
        true => state.keys.entries(key),
        false => state.keys.entry(key).map_or(&[][..], std::slice::from_ref),
    };
    let mut response = match entries {
        [] => respond(StatusCode::NOT_FOUND, Bytes::new()),
        found => json_response(&found.iter().map(entry_json).collect()),
    };
    let headers = response.headers_mut();
    headers.insert("x-consul-index", index_of(&state).into());
    response
}

/// Waits until the index of a query exceeds `known_index`, but at most for `wait`.
async fn wait_for_change(
    shared: &StoreShared,
    known_index: u64,
    wait: Duration,
    index_of: impl Fn(&StoreState) -> u64,
) {
    let mut changes = shared.subscribe();
    if index_of(&shared.lock()) > known_index {
        return;
    }
    let guard = WaitGuard::new(shared);
    let changed = async {
        while index_of(&shared.lock()) <= known_index && changes.changed().await.is_ok() {}
    };
    let _ = tokio::time::timeout(wait.min(MAX_WAIT), changed).await;
    drop(guard);
}

/// Counts a waiting blocking query until it is dropped, also when its connection is closed.
struct WaitGuard<'a> {
    shared: &'a StoreShared,
}

impl WaitGuard<'_> {
    fn new(shared: &StoreShared) -> WaitGuard<'_> {
        let mut state = shared.lock();
        state.counts.watches += 1;
        state.counts.waiting += 1;
        WaitGuard { shared }
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.lock().counts.waiting -= 1;
    }
}

/// Writes a key, subject to the condition in the query.
pub(crate) fn write_kv(
    shared: &StoreShared,
    key: &str,
    query: &str,
    value: Bytes,
) -> StoreResponse {
    let Some(condition) = write_condition(query) else {
        return text_response(StatusCode::BAD_REQUEST, "invalid cas value");
    };
    let flags = query_value(query, "flags").and_then(|flags| flags.parse().ok());
    let done = shared.change(|state| {
        state.counts.writes += 1;
        let now = Instant::now();
        let flags = flags.unwrap_or_default();
        state.keys.write(key, value, flags, &condition, now)
    });
    match done {
        Some(done) => json_response(&json!(done)),
        None => text_response(StatusCode::INTERNAL_SERVER_ERROR, "invalid session"),
    }
}

fn write_condition(query: &str) -> Option<WriteCondition> {
    if let Some(index) = query_value(query, "cas") {
        return index.parse().ok().map(WriteCondition::Index);
    }
    if let Some(session) = query_value(query, "acquire") {
        return Some(WriteCondition::Acquire(session.into()));
    }
    let released = query_value(query, "release");
    Some(released.map_or(WriteCondition::None, |session| {
        WriteCondition::Release(session.into())
    }))
}

/// Deletes a key or all keys under a prefix.
pub(crate) fn delete_kv(shared: &StoreShared, key: &str, query: &str) -> StoreResponse {
    let condition = query_value(query, "cas").map(str::parse).transpose();
    let Ok(condition) = condition else {
        return text_response(StatusCode::BAD_REQUEST, "invalid cas value");
    };
    let recurse = query_value(query, "recurse").is_some();
    let done = shared.change(|state| {
        state.counts.writes += 1;
        match recurse {
            true => delete_prefix(&mut state.keys, key),
            false => state.keys.delete(key, condition),
        }
    });
    json_response(&json!(done))
}

fn delete_prefix(keys: &mut KvState, prefix: &str) -> bool {
    let names = keys.entries(prefix).iter().map(|entry| entry.key.clone());
    let names: Vec<CompactString> = names.collect();
    for name in names {
        keys.delete(&name, None);
    }
    true
}

fn entry_json(entry: &KeyEntry) -> serde_json::Value {
    let value = match &*entry.value {
        [] => serde_json::Value::Null,
        value => STANDARD.encode(value).into(),
    };
    let mut object = json!({
        "LockIndex": entry.lock_index,
        "Key": entry.key,
        "Flags": entry.flags,
        "Value": value,
        "CreateIndex": entry.create_index,
        "ModifyIndex": entry.modify_index,
    });
    if let Some(session) = &entry.session {
        object["Session"] = session.as_str().into();
    }
    object
}
