//! The part of the API for keys.

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
    store_answer::{
        json_answer,
        parse_span,
        query_value,
        respond,
        text,
        StoreAnswer, //
    },
    store_shared::{
        StoreShared,
        StoreState, //
    },
};

/// Longest wait of a blocking query, and the wait when the caller names none; Consul's values.
const MAX_WAIT: Duration = Duration::from_secs(600);
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Answers the entry of a key, or those under a prefix, at once or after a change.
pub(crate) async fn read_kv(shared: &StoreShared, key: &str, query: &str) -> StoreAnswer {
    let recurse = query_value(query, "recurse").is_some();
    let index_of = |state: &StoreState| match recurse {
        true => state.keys.prefix_index(key),
        false => state.keys.key_index(key),
    };
    let seen = query_value(query, "index").and_then(|index| index.parse().ok());
    if let Some(seen) = seen {
        let wait = query_value(query, "wait").and_then(parse_span);
        wait_for_change(shared, seen, wait.unwrap_or(DEFAULT_WAIT), index_of).await;
    }
    let mut state = shared.lock();
    state.counts.reads += 1;
    if let Some(body) = state.faults.take_garbled_read() {
        return respond(StatusCode::OK, body);
    }
    let entries = match recurse {
        true => state.keys.entries(key),
        false => state.keys.entry(key).map_or(&[][..], std::slice::from_ref),
    };
    let mut answer = match entries {
        [] => respond(StatusCode::NOT_FOUND, Bytes::new()),
        found => json_answer(&found.iter().map(entry_json).collect()),
    };
    let headers = answer.headers_mut();
    headers.insert("x-consul-index", index_of(&state).into());
    answer
}

/// Waits until the index of a query exceeds `seen`, or the time is over.
async fn wait_for_change(
    shared: &StoreShared,
    seen: u64,
    wait: Duration,
    index_of: impl Fn(&StoreState) -> u64,
) {
    let mut changes = shared.subscribe();
    if index_of(&shared.lock()) > seen {
        return;
    }
    let waiting = WaitingWatch::new(shared);
    let changed =
        async { while index_of(&shared.lock()) <= seen && changes.changed().await.is_ok() {} };
    let _ = tokio::time::timeout(wait.min(MAX_WAIT), changed).await;
    drop(waiting);
}

/// Counts a blocking query for as long as it waits, also if its connection is closed meanwhile.
struct WaitingWatch<'a> {
    shared: &'a StoreShared,
}

impl WaitingWatch<'_> {
    fn new(shared: &StoreShared) -> WaitingWatch<'_> {
        let mut state = shared.lock();
        state.counts.watches += 1;
        state.counts.waiting += 1;
        WaitingWatch { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.shared.lock().counts.waiting -= 1;
    }
}

/// Writes a key under the condition of the query.
pub(crate) fn write_kv(shared: &StoreShared, key: &str, query: &str, value: Bytes) -> StoreAnswer {
    let Some(condition) = write_condition(query) else {
        return text(StatusCode::BAD_REQUEST, "invalid cas value");
    };
    let flags = query_value(query, "flags").and_then(|flags| flags.parse().ok());
    let done = shared.change(|state| {
        state.counts.writes += 1;
        let now = Instant::now();
        let flags = flags.unwrap_or_default();
        state.keys.write(key, value, flags, &condition, now)
    });
    match done {
        Some(done) => json_answer(&json!(done)),
        None => text(StatusCode::INTERNAL_SERVER_ERROR, "invalid session"),
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

/// Deletes a key, or those under a prefix.
pub(crate) fn delete_kv(shared: &StoreShared, key: &str, query: &str) -> StoreAnswer {
    let condition = query_value(query, "cas").map(str::parse).transpose();
    let Ok(condition) = condition else {
        return text(StatusCode::BAD_REQUEST, "invalid cas value");
    };
    let recurse = query_value(query, "recurse").is_some();
    let done = shared.change(|state| {
        state.counts.writes += 1;
        match recurse {
            true => delete_prefix(&mut state.keys, key),
            false => state.keys.delete(key, condition),
        }
    });
    json_answer(&json!(done))
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
