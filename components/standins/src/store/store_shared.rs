//! State shared by the connections of the store.

use std::{
    sync::{
        Mutex,
        MutexGuard, //
    },
    time::Duration,
};

use tokio::sync::watch;

use super::{
    kv_state::KvState,
    store_faults::StoreFaults,
    RequestCounts, //
};

/// Default of the largest value, in bytes; the platform documents 1 MB.
const DEFAULT_MAX_VALUE_LEN: usize = 1_000_000;

/// Default of the shortest time to live of a session, as in Consul.
const DEFAULT_MIN_TTL: Duration = Duration::from_secs(10);

/// State of the store.
#[derive(Debug)]
pub(crate) struct StoreState {
    pub(crate) keys: KvState,
    pub(crate) faults: StoreFaults,
    pub(crate) counts: RequestCounts,
    pub(crate) max_value: usize,
    pub(crate) min_ttl: Duration,
}

/// State shared by the connections of the store.
///
/// It doesn't own the port, so that the port is closed with the last handle.
pub(crate) struct StoreShared {
    state: Mutex<StoreState>,
    changes: watch::Sender<u64>,
}

impl StoreShared {
    pub(crate) fn new() -> StoreShared {
        let state = StoreState {
            keys: KvState::default(),
            faults: StoreFaults::default(),
            counts: RequestCounts::default(),
            max_value: DEFAULT_MAX_VALUE_LEN,
            min_ttl: DEFAULT_MIN_TTL,
        };
        StoreShared {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns a receiver of the index, which is notified of each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked, since the state may be inconsistent then.
    pub(crate) fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Changes the state and notifies the blocking queries.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut StoreState) -> R) -> R {
        let mut state = self.lock();
        let result = change(&mut state);
        let index = state.keys.index();
        drop(state);
        self.changes.send_replace(index);
        result
    }
}
