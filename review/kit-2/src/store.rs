//! Stand-in for the platform's store.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddrV4},
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use serde_json::{json, Value};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{sleep, timeout},
};

use crate::http;

/// Largest number of items on a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    end: Instant,
}

struct State {
    items: BTreeMap<String, Item>,
    /// Key and its item after each change; `None` for a deletion.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    revision: u64,
    next_lease: u64,
}

struct Shared {
    state: Mutex<State>,
    revision: watch::Sender<u64>,
    is_down: watch::Sender<bool>,
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddrV4,
    shared: Arc<Shared>,
}

impl Store {
    pub async fn start(ip: Ipv4Addr) -> std::io::Result<Store> {
        let listener = TcpListener::bind(SocketAddrV4::new(ip, 0)).await?;
        let address = SocketAddrV4::new(ip, listener.local_addr()?.port());
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                items: BTreeMap::new(),
                history: Vec::new(),
                leases: BTreeMap::new(),
                revision: 1,
                next_lease: 1,
            }),
            revision: watch::channel(1).0,
            is_down: watch::channel(false).0,
        });
        let ending = shared.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(20)).await;
                ending.end_leases();
            }
        });
        let accepting = shared.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(accepting.clone(), stream));
            }
        });
        Ok(Store { address, shared })
    }

    /// Writes a key as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let body = json!({"Puts": [{"Key": key, "Value": base64(value.as_bytes()), "Lease": 0}]});
        self.shared.change(&body);
    }

    /// While the store is down it answers nothing, and what arrives then is never answered.
    pub fn set_down(&self, is_down: bool) {
        self.shared.is_down.send_replace(is_down);
    }
}

impl Shared {
    fn publish(&self, state: &State) {
        self.revision.send_replace(state.revision);
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let leases = state.leases.iter();
        let ended = leases.filter(|(_, lease)| lease.end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id);
        }
        self.publish(&state);
    }

    fn change(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        let empty = Vec::new();
        let rows = |name: &str| body[name].as_array().unwrap_or(&empty);
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        for row in rows("ExpectedRevision") {
            let item = state.items.get(&text(&row["Key"]));
            if row["Revision"].as_u64() != Some(item.map_or(0, |item| item.revision)) {
                return (412, json!({"items": []}));
            }
        }
        for put in rows("Puts") {
            let lease = put["Lease"].as_u64().unwrap_or_default();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return (404, json!({}));
            }
        }
        state.revision += 1;
        let revision = state.revision;
        for put in rows("Puts") {
            let key = text(&put["Key"]);
            let created = state.items.get(&key).map_or(revision, |item| item.created);
            let item = Item {
                value: text(&put["Value"]),
                revision,
                created,
                lease: put["Lease"].as_u64().unwrap_or_default(),
            };
            state.items.insert(key.clone(), item.clone());
            state.history.push((revision, key, Some(item)));
        }
        for key in rows("Deletes") {
            let key = text(key);
            if state.items.remove(&key).is_some() {
                state.history.push((revision, key, None));
            }
        }
        self.publish(&state);
        (200, json!({"Revision": revision}))
    }

    async fn handle(&self, request: &http::Message) -> (u16, Value) {
        let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
        let field = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let mut named = pairs.filter(|(found, _)| *found == name);
            unescape(named.next().map_or("", |(_, value)| value))
        };
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let operation = path.trim_start_matches("/carobdrum/");
        let (operation, id) = operation.split_once('/').unwrap_or((operation, ""));
        let id: u64 = id.parse().unwrap_or_default();
        match operation {
            "kv-key" => {
                let state = self.state.lock().unwrap();
                let key = field("Key");
                match state.items.get(&key) {
                    Some(item) => {
                        let mut value = item_value(&key, item);
                        value["StoreRevision"] = state.revision.into();
                        (200, value)
                    }
                    None => (404, json!({"StoreRevision": state.revision})),
                }
            }
            "kv-range" => {
                let state = self.state.lock().unwrap();
                let (prefix, after) = (field("Prefix"), field("after"));
                let items = state.items.iter();
                let mut found = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page = found.by_ref().take(PAGE);
                let page: Vec<Value> = page.map(|(key, item)| item_value(key, item)).collect();
                let truncated = found.next().is_some();
                let revision = state.revision;
                (
                    200,
                    json!({"items": page, "Truncated": truncated, "StoreRevision": revision}),
                )
            }
            "kv-watch" => {
                let after = field("after").parse().unwrap_or_default();
                let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or_default());
                self.watch(&field("Prefix"), after, wait).await
            }
            "kv-txn" => self.change(&body),
            "kv-lease" => {
                let mut state = self.state.lock().unwrap();
                let ttl_ms = body["TtlMs"].as_u64().unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let id = state.next_lease;
                state.next_lease += 1;
                let end = Instant::now() + ttl;
                state.leases.insert(id, Lease { ttl, end });
                (200, json!({"Lease": id, "TtlMs": ttl_ms}))
            }
            "kv-keep" => {
                let mut state = self.state.lock().unwrap();
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.end = Instant::now() + lease.ttl;
                        (200, json!({"TtlMs": lease.ttl.as_millis() as u64}))
                    }
                    None => (404, json!({})),
                }
            }
            "kv-lease-end" => {
                let mut state = self.state.lock().unwrap();
                state.end_lease(id);
                self.publish(&state);
                (200, json!({}))
            }
            _ => (400, json!({})),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, Value) {
        let mut changed = self.revision.subscribe();
        let next = async {
            loop {
                changed.borrow_and_update();
                let events = self.events(prefix, after);
                if events["events"] != json!([]) {
                    return events;
                }
                // The sender lives as long as `self`.
                let _ = changed.changed().await;
            }
        };
        match timeout(wait, next).await {
            Ok(events) => (200, events),
            Err(_) => (200, self.events(prefix, after)),
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Value {
        let state = self.state.lock().unwrap();
        let changes = state.history.iter();
        let changes = changes.filter(|(at, key, _)| *at > after && key.starts_with(prefix));
        let events = changes.map(|(at, key, item)| match item {
            Some(item) => item_value(key, item),
            None => json!({"Key": key, "Revision": at, "Tombstone": true}),
        });
        let events: Vec<Value> = events.collect();
        json!({"events": events, "StoreRevision": state.revision})
    }
}

impl State {
    fn end_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let items = self.items.iter();
        let keys = items.filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            self.items.remove(&key);
            self.history.push((self.revision, key, None));
        }
    }
}

/// Serves the requests of a connection, which arrive one after the other.
async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Some(request) = http::read(&mut reader).await {
        if *shared.is_down.borrow() {
            // The connection stays open and returns nothing further.
            while http::read(&mut reader).await.is_some() {}
            return;
        }
        let (status, body) = shared.handle(&request).await;
        // A response that is due while the store is down comes when it is back.
        let mut is_down = shared.is_down.subscribe();
        let _ = is_down.wait_for(|is_down| !is_down).await;
        let response = http::response(status, "", &body.to_string());
        if writer.write_all(&response).await.is_err() {
            return;
        }
    }
}

fn item_value(key: &str, item: &Item) -> Value {
    json!({
        "Key": key,
        "Value": item.value,
        "Revision": item.revision,
        "Created": item.created,
        "Lease": item.lease,
    })
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                plain.push(byte);
                at += 3;
            }
            None => {
                plain.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) & 63;
            text.push(if place <= chunk.len() {
                DIGITS[digit as usize] as char
            } else {
                '='
            });
        }
    }
    text
}
