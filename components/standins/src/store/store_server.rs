//! The store and its fault controls.

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
    CallCounts, //
};
use crate::{
    port_switch::{
        bind_port,
        PortSwitch, //
    },
    PortMode,
    StandinError, //
};

/// Period of the search for sessions whose time is over.
const LEASE_PERIOD: Duration = Duration::from_millis(50);

/// Stand-in for the platform's store: Consul's HTTP API for keys and sessions, as far as carobdrum
/// uses it.
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
    pub fn set_response_delay(&self, delay: Duration) {
        self.shared.lock().faults.delay_after = delay;
    }

    /// Lets `skipped` writes through and loses the responses to the `count` writes that follow,
    /// which take effect.
    pub fn drop_write_responses(&self, skipped: u32, count: u32) {
        let fault = WriteFault::DropResponse;
        self.shared.lock().faults.plan_writes(fault, skipped, count);
    }

    /// Lets `skipped` writes through and delays the `count` writes that follow, which take effect
    /// even if the client has gone by then.
    pub fn delay_writes(&self, skipped: u32, count: u32, delay: Duration) {
        let fault = WriteFault::Delay(delay);
        self.shared.lock().faults.plan_writes(fault, skipped, count);
    }

    /// Answers the next `count` reads with `body` and status 200.
    pub fn corrupt_reads(&self, count: u32, body: impl Into<Bytes>) {
        self.shared.lock().faults.corrupted_reads = Some((count, body.into()));
    }

    /// Ends a session as if its time were over, and returns whether it existed.
    pub fn expire_session(&self, id: &str) -> bool {
        self.shared
            .change(|state| state.keys.end_lease(id, true, Instant::now()))
    }

    /// Returns the ids of the sessions that exist.
    pub fn sessions(&self) -> Vec<CompactString> {
        let state = self.shared.lock();
        let leases = state.keys.leases().iter();
        leases.map(|lease| lease.id.clone()).collect()
    }

    /// Returns the value of a key, by its full name and without counting a call.
    pub fn value(&self, key: &str) -> Option<Bytes> {
        let state = self.shared.lock();
        state.keys.entry(key).map(|entry| entry.value.clone())
    }

    /// Writes a key by its full name, without counting a call.
    pub fn set_value(&self, key: &str, value: impl Into<Bytes>) {
        let value = value.into();
        self.shared.change(|state| {
            let now = Instant::now();
            state.keys.write(key, value, 0, &WriteCondition::None, now)
        });
    }

    /// Returns the counts of calls.
    pub fn counts(&self) -> CallCounts {
        self.shared.lock().counts
    }
}

async fn expire_leases(shared: Arc<StoreShared>, mut mode: watch::Receiver<PortMode>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(LEASE_PERIOD) => {}
            stopped = mode.wait_for(|mode| *mode == PortMode::Stopped) => {
                drop(stopped);
                return;
            }
        }
        if shared.lock().keys.expire_leases(Instant::now()) {
            shared.change(|_| ());
        }
    }
}
