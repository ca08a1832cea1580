//! Stand-in for the platform's metadata store, over HTTP/1.1.

use std::{
    collections::BTreeMap,
    io::{Read, Write},
    net::{SocketAddrV4, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant},
};

use crate::{json::Json, system::drop_arrivals};

/// Time that an answer takes.
const ANSWER_DELAY: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

/// A change: the key, its revision, and the item unless the key was deleted.
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    changes: Vec<Change>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Open connections, by the order of their arrival.
    connections: BTreeMap<u64, TcpStream>,
    next_connection: u64,
    /// Connections up to this one are silent for good.
    silent_up_to: u64,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// Stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddrV4,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(address: SocketAddrV4) -> std::io::Result<Store> {
        let listener = TcpListener::bind(address)?;
        let state = State {
            revision: 1,
            next_lease: 1,
            next_connection: 1,
            ..State::default()
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let accepting = shared.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = accepting.clone();
                thread::spawn(move || serve(shared, stream));
            }
        });
        let expiring = shared.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            end_expired_leases(&expiring);
        });
        Ok(Store { address, shared })
    }

    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Writes a key as the operator does. The return of the call is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.lock();
        state.put(key, &base64(value.as_bytes()), 0);
        self.shared.changed.notify_all();
    }

    /// Deletes a key as the operator does.
    pub fn delete(&self, key: &str) {
        let mut state = self.shared.lock();
        state.delete(key);
        self.shared.changed.notify_all();
    }

    /// Returns how many keys begin with `prefix`.
    pub fn count(&self, prefix: &str) -> usize {
        let state = self.shared.lock();
        state
            .items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .count()
    }

    /// Makes all open connections silent for good: what arrives on them is dropped, and nothing is
    /// answered. New connections work. Returns their number, or `None` if it isn't possible here.
    pub fn silence_connections(&self) -> Option<usize> {
        let mut state = self.shared.lock();
        state.silent_up_to = state.next_connection;
        state.next_connection += 1;
        let count = state.connections.len();
        state
            .connections
            .values()
            .all(drop_arrivals)
            .then_some(count)
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .expect("no thread panics while it holds the lock")
    }
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value: value.into(),
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.into(), item.clone());
        self.changes.push(Change {
            key: key.into(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.changes.push(Change {
                key: key.into(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
    }
}

fn end_expired_leases(shared: &Shared) {
    let mut state = shared.lock();
    let now = Instant::now();
    let expired = state.leases.iter().filter(|(_, lease)| lease.ends <= now);
    let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
    for id in &expired {
        state.end_lease(*id);
    }
    if !expired.is_empty() {
        shared.changed.notify_all();
    }
}

fn serve(shared: Arc<Shared>, mut stream: TcpStream) {
    let id = {
        let mut state = shared.lock();
        let id = state.next_connection;
        state.next_connection += 1;
        let Ok(copy) = stream.try_clone() else { return };
        state.connections.insert(id, copy);
        id
    };
    let mut buffer = Vec::new();
    while let Some((method, target, body)) = read_request(&mut stream, &mut buffer) {
        thread::sleep(ANSWER_DELAY);
        let Some((status, body)) = answer(&shared, id, &method, &target, &body) else {
            // The connection is silent: it stays open, and no answer is sent.
            loop {
                thread::park();
            }
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let mut state = shared.lock();
    if id > state.silent_up_to {
        state.connections.remove(&id);
    }
}

/// Reads one request: its method, path with query, and body.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String, String)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                name.eq_ignore_ascii_case("content-length")
                    .then(|| value.trim().parse().ok())?
            });
            let total = end + 4 + length.unwrap_or(0usize);
            if buffer.len() >= total {
                let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
                buffer.drain(..total);
                let mut words = head.split(' ');
                return Some((words.next()?.into(), words.next()?.into(), body));
            }
        }
        let mut chunk = [0; 4096];
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(length) => buffer.extend_from_slice(&chunk[..length]),
        }
    }
}

/// Carries out a request; `None` if its connection is silent.
fn answer(
    shared: &Shared,
    connection: u64,
    method: &str,
    target: &str,
    body: &str,
) -> Option<(u16, String)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let field = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|pair| pair.0 == name)
            .map_or("", |pair| pair.1)
            .to_string()
    };
    let operation = path.trim_start_matches("/carobdrum/");
    let (operation, id) = operation.split_once('/').unwrap_or((operation, ""));
    let id: u64 = id.parse().unwrap_or(0);
    let body = Json::parse(body).unwrap_or(Json::Null);
    let mut state = shared.lock();
    if connection <= state.silent_up_to {
        return None;
    }
    let reply = match (method, operation) {
        ("GET", "kv-key") => match state.items.get(&field("Key")) {
            Some(item) => (200, item_text(&field("Key"), item)),
            None => (404, "{}".into()),
        },
        ("GET", "kv-range") => (200, range_text(&state, &field("Prefix"), &field("after"))),
        ("GET", "kv-watch") => {
            let after = field("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(field("WaitMs").parse().unwrap_or(0));
            return watch(shared, state, connection, &field("Prefix"), after, wait);
        }
        ("POST", "kv-txn") => transact(&mut state, &body),
        ("POST", "kv-lease") => {
            let ttl = Duration::from_millis(body.number("TtlMs"));
            let lease = state.next_lease;
            state.next_lease += 1;
            state.leases.insert(
                lease,
                Lease {
                    ttl,
                    ends: Instant::now() + ttl,
                },
            );
            (
                200,
                format!("{{\"Lease\":{lease},\"TtlMs\":{}}}", ttl.as_millis()),
            )
        }
        ("POST", "kv-keep") => match state.leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, "{}".into())
            }
            None => (404, "{}".into()),
        },
        ("DELETE", "kv-lease-end") => {
            state.end_lease(id);
            (200, "{}".into())
        }
        _ => (400, "{}".into()),
    };
    drop(state);
    shared.changed.notify_all();
    Some(reply)
}

fn item_text(key: &str, item: &Item) -> String {
    format!(
        "{{\"Key\":\"{key}\",\"Value\":\"{}\",\"Revision\":{},\"Created\":{},\"Lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

fn range_text(state: &State, prefix: &str, after: &str) -> String {
    let items = state
        .items
        .iter()
        .filter(|(key, _)| key.starts_with(prefix));
    let items = items.filter(|(key, _)| key.as_str() > after);
    let items: Vec<String> = items.map(|(key, item)| item_text(key, item)).collect();
    format!(
        "{{\"items\":[{}],\"Truncated\":false,\"StoreRevision\":{}}}",
        items.join(","),
        state.revision
    )
}

fn watch(
    shared: &Shared,
    mut state: MutexGuard<'_, State>,
    connection: u64,
    prefix: &str,
    after: u64,
    wait: Duration,
) -> Option<(u16, String)> {
    let due = Instant::now() + wait;
    loop {
        if connection <= state.silent_up_to {
            return None;
        }
        let changes = state
            .changes
            .iter()
            .filter(|change| change.revision > after);
        let changes = changes.filter(|change| change.key.starts_with(prefix));
        let events: Vec<String> = changes
            .map(|change| match &change.item {
                Some(item) => item_text(&change.key, item),
                None => format!(
                    "{{\"Key\":\"{}\",\"Revision\":{},\"Tombstone\":true}}",
                    change.key, change.revision
                ),
            })
            .collect();
        let left = due.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let revision = state.revision;
            let events = events.join(",");
            return Some((
                200,
                format!("{{\"events\":[{events}],\"StoreRevision\":{revision}}}"),
            ));
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.expect("no thread panics while it holds the lock").0;
    }
}

fn transact(state: &mut State, body: &Json) -> (u16, String) {
    let rows = body.list("ExpectedRevision");
    let current = |key: &str| state.items.get(key).map_or(0, |item| item.revision);
    if rows
        .iter()
        .any(|row| current(row.text("Key")) != row.number("Revision"))
    {
        let items = rows.iter().filter_map(|row| {
            let item = state.items.get(row.text("Key"))?;
            Some(item_text(row.text("Key"), item))
        });
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = body.list("Puts");
    let has_lease = |put: &Json| {
        let lease = put.number("Lease");
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".into());
    }
    for put in puts {
        state.put(put.text("Key"), put.text("Value"), put.number("Lease"));
    }
    for key in body.list("Deletes") {
        if let Json::Text(key) = key {
            state.delete(key);
        }
    }
    (200, format!("{{\"Revision\":{}}}", state.revision))
}

/// Encodes bytes as standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for index in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}
