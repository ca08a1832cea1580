//! The store's HTTP service and its fault controls.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use base64::{
    engine::general_purpose::STANDARD,
    Engine, //
};
use bytes::Bytes;
use compact_str::CompactString;
use http::{
    Method,
    Request,
    Response,
    StatusCode,
    Uri, //
};
use http_body_util::{
    BodyExt,
    Full,
    LengthLimitError,
    Limited, //
};
use hyper::{
    body::Incoming,
    server::conn::http1,
    service::service_fn, //
};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::json;
use snafu::Snafu;
use tokio::{
    net::TcpStream,
    sync::watch,
    time::Instant, //
};

use super::{
    kv_state::{
        KeyEntry,
        KvState,
        LeaseBehavior,
        LeaseEntry,
        WriteCondition, //
    },
    store_faults::{
        StoreFaults,
        WriteFault, //
    },
    CallCounts,
};
use crate::{
    port_switch::{
        bind_port,
        spawn_connection,
        PortSwitch, //
    },
    PortMode,
    StandinError, //
};

/// Largest value at the start, in bytes; the platform states 1 MB.
const MAX_VALUE: usize = 1_000_000;

/// Longest wait of a blocking query, and the wait when the caller names none; Consul's values.
const MAX_WAIT: Duration = Duration::from_secs(600);
const DEFAULT_WAIT: Duration = Duration::from_secs(300);

/// Limits of a session's time to live at the start, and the default lock delay; Consul's values.
const MIN_TTL: Duration = Duration::from_secs(10);
const MAX_TTL: Duration = Duration::from_secs(86_400);
const DEFAULT_LOCK_DELAY: Duration = Duration::from_secs(15);

/// Period of the search for sessions whose time is over.
const LEASE_PERIOD: Duration = Duration::from_millis(50);

type Answer = Response<Full<Bytes>>;

/// The response is lost on purpose: hyper closes the connection when the service fails.
#[derive(Debug, Snafu)]
#[snafu(display("the response is lost on purpose"))]
struct AnswerLost;

#[derive(Debug)]
struct Inner {
    state: KvState,
    faults: StoreFaults,
    counts: CallCounts,
    max_value: usize,
    min_ttl: Duration,
}

/// What the connections share. It doesn't hold the port, which ends with the last handle.
struct Shared {
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
}

/// Stand-in for the platform's store: Consul's HTTP API for keys and sessions, as far as carobdrum
/// uses it.
///
/// Clones control the same store, which stops when the last of them is dropped.
#[derive(Clone)]
pub struct StoreServer {
    address: SocketAddr,
    shared: Arc<Shared>,
    port: Arc<PortSwitch>,
}

impl StoreServer {
    /// Starts an empty store on `address`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Bind`] if the address can't be bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime.
    pub async fn start(address: SocketAddr) -> Result<StoreServer, StandinError> {
        let (listener, address) = bind_port(address).await?;
        let shared = Arc::new(Shared {
            inner: Mutex::new(Inner {
                state: KvState::default(),
                faults: StoreFaults::default(),
                counts: CallCounts::default(),
                max_value: MAX_VALUE,
                min_ttl: MIN_TTL,
            }),
            changes: watch::Sender::new(0),
        });
        let served = Arc::clone(&shared);
        let port = PortSwitch::start(listener, address, move |stream, mode| {
            serve_connection(stream, Arc::clone(&served), mode);
        });
        tokio::spawn(expire_leases(Arc::clone(&shared), port.subscribe()));
        Ok(StoreServer {
            address,
            shared,
            port: Arc::new(port),
        })
    }

    /// Returns the address at which the store is served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes the store down, up again, or stops it, and waits until it is.
    pub async fn set_mode(&self, mode: PortMode) {
        self.port.set(mode);
        self.port.settled().await;
    }

    /// Sets the largest value that the store takes, in bytes.
    pub fn set_max_value(&self, len: usize) {
        self.shared.lock().max_value = len;
    }

    /// Sets the shortest time to live of a session, like `session_ttl_min` of Consul.
    pub fn set_min_ttl(&self, ttl: Duration) {
        self.shared.lock().min_ttl = ttl;
    }

    /// Delays each call before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay_before = delay;
    }

    /// Delays each response after the call took effect.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay_after = delay;
    }

    /// Lets `skipped` writes through and loses the responses to the `count` writes that follow,
    /// which take effect.
    pub fn lose_write_answers(&self, skipped: u32, count: u32) {
        let fault = WriteFault::LoseAnswer;
        self.shared.lock().faults.plan_writes(fault, skipped, count);
    }

    /// Lets `skipped` writes through and delays the `count` writes that follow, which take effect
    /// even if the client has gone by then.
    pub fn delay_writes(&self, skipped: u32, count: u32, delay: Duration) {
        let fault = WriteFault::Delay(delay);
        self.shared.lock().faults.plan_writes(fault, skipped, count);
    }

    /// Answers the next `count` reads with `body` and status 200.
    pub fn garble_reads(&self, count: u32, body: impl Into<Bytes>) {
        self.shared.lock().faults.garbled_reads = Some((count, body.into()));
    }

    /// Ends a session as if its time were over, and returns whether it existed.
    pub fn expire_session(&self, id: &str) -> bool {
        self.shared
            .change(|inner| inner.state.end_lease(id, true, Instant::now()))
    }

    /// Returns the ids of the sessions that exist.
    pub fn sessions(&self) -> Vec<CompactString> {
        let inner = self.shared.lock();
        let leases = inner.state.leases().iter();
        leases.map(|lease| lease.id.clone()).collect()
    }

    /// Returns the value of a key, by its full name and without counting a call.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let inner = self.shared.lock();
        inner.state.entry(key).map(|entry| entry.value.clone())
    }

    /// Writes a key by its full name, without counting a call.
    pub fn set_value(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        self.shared.change(|inner| {
            let now = Instant::now();
            inner.state.write(key, value, 0, &WriteCondition::None, now)
        });
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }
}

impl Shared {
    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked, which leaves the state in doubt.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("a holder of the lock panicked")
    }

    /// Changes the state and wakes the blocking queries.
    fn change<R>(&self, change: impl FnOnce(&mut Inner) -> R) -> R {
        let mut inner = self.lock();
        let result = change(&mut inner);
        let index = inner.state.index();
        drop(inner);
        self.changes.send_replace(index);
        result
    }
}

async fn expire_leases(shared: Arc<Shared>, mut mode: watch::Receiver<PortMode>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(LEASE_PERIOD) => {}
            stopped = mode.wait_for(|mode| *mode == PortMode::Stopped) => {
                drop(stopped);
                return;
            }
        }
        if shared.lock().state.expire_leases(Instant::now()) {
            shared.change(|_| ());
        }
    }
}

fn serve_connection(stream: TcpStream, shared: Arc<Shared>, mode: watch::Receiver<PortMode>) {
    let service = service_fn(move |request| answer(Arc::clone(&shared), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    spawn_connection(connection, mode);
}

async fn answer(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, AnswerLost> {
    let (before, after) = {
        let inner = shared.lock();
        (inner.faults.delay_before, inner.faults.delay_after)
    };
    pause(before).await;
    let answer = match *request.method() {
        Method::GET => read(&shared, request.uri()).await,
        Method::PUT | Method::DELETE => write(shared, request).await?,
        _ => text(StatusCode::METHOD_NOT_ALLOWED, "method not allowed"),
    };
    pause(after).await;
    Ok(answer)
}

async fn pause(delay: Duration) {
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
}

async fn read(shared: &Shared, uri: &Uri) -> Answer {
    match uri.path().strip_prefix("/v1/kv/") {
        Some(key) => read_kv(shared, key, uri.query().unwrap_or_default()).await,
        None => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

/// Runs a write in a task of its own, so that it takes effect even if the client goes.
async fn write(shared: Arc<Shared>, request: Request<Incoming>) -> Result<Answer, AnswerLost> {
    let (fault, limit) = {
        let mut inner = shared.lock();
        (inner.faults.take_write_fault(), inner.max_value)
    };
    let (parts, body) = request.into_parts();
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Ok(text(
                StatusCode::PAYLOAD_TOO_LARGE,
                "request body too large",
            ));
        }
        Err(_) => return AnswerLostSnafu.fail(),
    };
    let run = tokio::spawn(async move {
        if let WriteFault::Delay(delay) = fault {
            tokio::time::sleep(delay).await;
        }
        run_write(&shared, &parts.method, &parts.uri, body)
    });
    match run.await {
        Ok(answer) if fault != WriteFault::LoseAnswer => Ok(answer),
        _ => AnswerLostSnafu.fail(),
    }
}

fn run_write(shared: &Shared, method: &Method, uri: &Uri, body: Bytes) -> Answer {
    let path = uri.path();
    let query = uri.query().unwrap_or_default();
    if let Some(call) = path.strip_prefix("/v1/session/") {
        return answer_session(shared, call, &body);
    }
    match path.strip_prefix("/v1/kv/") {
        Some(key) if *method == Method::PUT => write_kv(shared, key, query, body),
        Some(key) => delete_kv(shared, key, query),
        None => text(StatusCode::NOT_FOUND, "no such path"),
    }
}

async fn read_kv(shared: &Shared, key: &str, query: &str) -> Answer {
    let recurse = query_value(query, "recurse").is_some();
    let index_of = |inner: &Inner| match recurse {
        true => inner.state.prefix_index(key),
        false => inner.state.key_index(key),
    };
    let seen = query_value(query, "index").and_then(|index| index.parse().ok());
    if let Some(seen) = seen {
        let wait = query_value(query, "wait").and_then(parse_span);
        wait_for_change(shared, seen, wait.unwrap_or(DEFAULT_WAIT), index_of).await;
    }
    let mut inner = shared.lock();
    inner.counts.reads += 1;
    if let Some(body) = inner.faults.take_garbled_read() {
        return respond(StatusCode::OK, body);
    }
    let entries = match recurse {
        true => inner.state.entries(key),
        false => inner.state.entry(key).map_or(&[][..], std::slice::from_ref),
    };
    let mut answer = match entries {
        [] => respond(StatusCode::NOT_FOUND, Bytes::new()),
        found => json_answer(&found.iter().map(entry_json).collect()),
    };
    let headers = answer.headers_mut();
    headers.insert("x-consul-index", index_of(&inner).into());
    answer
}

/// Waits until the index of a query exceeds `seen`, or the time is over.
async fn wait_for_change(
    shared: &Shared,
    seen: u64,
    wait: Duration,
    index_of: impl Fn(&Inner) -> u64,
) {
    let mut changes = shared.changes.subscribe();
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
    shared: &'a Shared,
}

impl WaitingWatch<'_> {
    fn new(shared: &Shared) -> WaitingWatch<'_> {
        let mut inner = shared.lock();
        inner.counts.watches += 1;
        inner.counts.waiting += 1;
        WaitingWatch { shared }
    }
}

impl Drop for WaitingWatch<'_> {
    fn drop(&mut self) {
        self.shared.lock().counts.waiting -= 1;
    }
}

fn write_kv(shared: &Shared, key: &str, query: &str, value: Bytes) -> Answer {
    let Some(condition) = write_condition(query) else {
        return text(StatusCode::BAD_REQUEST, "invalid cas value");
    };
    let flags = query_value(query, "flags").and_then(|flags| flags.parse().ok());
    let done = shared.change(|inner| {
        inner.counts.writes += 1;
        let now = Instant::now();
        let flags = flags.unwrap_or_default();
        inner.state.write(key, value, flags, &condition, now)
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

fn delete_kv(shared: &Shared, key: &str, query: &str) -> Answer {
    let condition = query_value(query, "cas").and_then(|index| index.parse().ok());
    let recurse = query_value(query, "recurse").is_some();
    let done = shared.change(|inner| {
        inner.counts.writes += 1;
        match recurse {
            true => delete_prefix(&mut inner.state, key),
            false => inner.state.delete(key, condition),
        }
    });
    json_answer(&json!(done))
}

fn delete_prefix(state: &mut KvState, prefix: &str) -> bool {
    let keys = state.entries(prefix).iter().map(|entry| entry.key.clone());
    let keys: Vec<CompactString> = keys.collect();
    for key in keys {
        state.delete(&key, None);
    }
    true
}

/// Body of a request for a session.
#[derive(Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
struct SessionRequest {
    #[serde(rename = "TTL")]
    ttl: CompactString,
    behavior: CompactString,
    lock_delay: CompactString,
}

fn answer_session(shared: &Shared, call: &str, body: &[u8]) -> Answer {
    shared.change(|inner| {
        inner.counts.session_calls += 1;
        match call.split_once('/') {
            None if call == "create" => create_session(&mut inner.state, inner.min_ttl, body),
            Some(("renew", id)) => renew_session(&mut inner.state, id),
            Some(("destroy", id)) => {
                inner.state.end_lease(id, false, Instant::now());
                json_answer(&json!(true))
            }
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    })
}

fn create_session(state: &mut KvState, min_ttl: Duration, body: &[u8]) -> Answer {
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
    let id = state.create_lease(ttl, behavior, lock_delay, Instant::now());
    json_answer(&json!({ "ID": id }))
}

fn renew_session(state: &mut KvState, id: &str) -> Answer {
    match state.renew_lease(id, Instant::now()) {
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

/// Returns the value of a parameter, empty if it is named without one.
fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let pairs = query.split('&');
    let mut pairs = pairs.map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Parses a span such as `10s`, `250ms` or `5m`.
fn parse_span(text: &str) -> Option<Duration> {
    let digits = text.find(|c: char| !c.is_ascii_digit())?;
    let count: u64 = text[..digits].parse().ok()?;
    match &text[digits..] {
        "ms" => Some(Duration::from_millis(count)),
        "s" => Some(Duration::from_secs(count)),
        "m" => Some(Duration::from_secs(count.checked_mul(60)?)),
        _ => None,
    }
}

fn json_answer(value: &serde_json::Value) -> Answer {
    let mut answer = respond(StatusCode::OK, Bytes::from(value.to_string()));
    let kind = http::HeaderValue::from_static("application/json");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

fn text(status: StatusCode, reason: &'static str) -> Answer {
    respond(status, Bytes::from_static(reason.as_bytes()))
}

fn respond(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
