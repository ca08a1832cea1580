//! The store and its fault injection.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use bytes::Bytes;
use compact_str::CompactString;
use tokio::{
    sync::watch,
    time::Instant, //
};

use super::{
    kv_state::WriteCondition,
    store_faults::WriteFault,
    store_routes::serve_connection,
    store_shared::StoreShared,
    RequestCounts, //
};
use crate::{
    port_switch::{
        bind_port,
        PortSwitch, //
    },
    PortMode,
    StandinError, //
};

/// Interval of the check for expired sessions.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Stand-in for the platform's key-value store: the part of Consul's HTTP API for keys and sessions
/// that carobdrum uses.
///
/// Clones control the same store, which stops when the last of them is dropped.
#[derive(Clone)]
pub struct StoreServer {
    address: SocketAddr,
    shared: Arc<StoreShared>,
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
        let shared = Arc::new(StoreShared::new());
        let served = Arc::clone(&shared);
        let port = PortSwitch::start(listener, address, move |stream, mode| {
            serve_connection(stream, Arc::clone(&served), mode);
        });
        tokio::spawn(expire_sessions(Arc::clone(&shared), port.subscribe()));
        Ok(StoreServer {
            address,
            shared,
            port: Arc::new(port),
        })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how the port handles connections, and waits until the mode is in effect.
    pub async fn set_mode(&self, mode: PortMode) {
        self.port.set(mode);
        self.port.wait_until_applied().await;
    }

    /// Sets the largest value that the store accepts, in bytes; 1 MB by default.
    pub fn set_max_value(&self, len: usize) {
        self.shared.lock().max_value = len;
    }

    /// Sets the shortest time to live of a session, like Consul's `session_ttl_min`; 10 s by
    /// default.
    pub fn set_min_ttl(&self, ttl: Duration) {
        self.shared.lock().min_ttl = ttl;
    }

    /// Delays each request before it takes effect.
    pub fn set_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay_before = delay;
    }

    /// Delays each response after its request has taken effect.
    pub fn set_response_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay_after = delay;
    }

    /// Leaves the next `skipped` writes unchanged and drops the responses to the `count` writes
    /// after them, which take effect.
    pub fn drop_write_responses(&self, skipped: u32, count: u32) {
        let fault = WriteFault::DropResponse;
        self.shared
            .lock()
            .faults
            .schedule_write_fault(fault, skipped, count);
    }

    /// Leaves the next `skipped` writes unchanged and delays the `count` writes after them, which
    /// take effect even if the client has disconnected by then.
    pub fn delay_writes(&self, skipped: u32, count: u32, delay: Duration) {
        let fault = WriteFault::Delay(delay);
        self.shared
            .lock()
            .faults
            .schedule_write_fault(fault, skipped, count);
    }

    /// Answers the next `count` reads with `body` and status 200.
    pub fn corrupt_reads(&self, count: u32, body: impl Into<Bytes>) {
        self.shared.lock().faults.corrupted_reads = Some((count, body.into()));
    }

    /// Ends a session as if it had expired, and returns whether it existed.
    pub fn expire_session(&self, id: &str) -> bool {
        self.shared
            .change(|state| state.keys.end_session(id, true, Instant::now()))
    }

    /// Returns the ids of the sessions that have neither expired nor been destroyed.
    pub fn sessions(&self) -> Vec<CompactString> {
        let state = self.shared.lock();
        let sessions = state.keys.sessions().iter();
        sessions.map(|session| session.id.clone()).collect()
    }

    /// Returns the value of a key, given with its prefix, without counting a request.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        state.keys.entry(key).map(|entry| entry.value.clone())
    }

    /// Writes a key, given with its prefix, without counting a request.
    pub fn set_value(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        self.shared.change(|state| {
            let now = Instant::now();
            state.keys.write(key, value, 0, &WriteCondition::None, now)
        });
    }

    /// Returns the request counts since the start.
    pub fn counts(&self) -> RequestCounts {
        self.shared.lock().counts
    }
}

async fn expire_sessions(shared: Arc<StoreShared>, mut mode: watch::Receiver<PortMode>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(EXPIRY_CHECK_INTERVAL) => {}
            stopped = mode.wait_for(|mode| *mode == PortMode::Stopped) => {
                drop(stopped);
                return;
            }
        }
        if shared.lock().keys.expire_sessions(Instant::now()) {
            shared.change(|_| ());
        }
    }
}
