//! What the connections of the store share.

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
    CallCounts, //
};

/// Largest value at the start, in bytes; the platform states 1 MB.
const MAX_VALUE: usize = 1_000_000;

/// Shortest time to live of a session at the start; Consul's value.
const MIN_TTL: Duration = Duration::from_secs(10);

/// State of the store.
#[derive(Debug)]
pub(crate) struct StoreState {
    pub(crate) keys: KvState,
    pub(crate) faults: StoreFaults,
    pub(crate) counts: CallCounts,
    pub(crate) max_value: usize,
    pub(crate) min_ttl: Duration,
}

/// What the connections share. It doesn't hold the port, which ends with the last handle.
pub(crate) struct StoreShared {
    state: Mutex<StoreState>,
    changes: watch::Sender<u64>,
}

impl StoreShared {
    pub(crate) fn new() -> StoreShared {
        let state = StoreState {
            keys: KvState::default(),
            faults: StoreFaults::default(),
            counts: CallCounts::default(),
            max_value: MAX_VALUE,
            min_ttl: MIN_TTL,
        };
        StoreShared {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns a view of the index, which wakes its owner with each change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Locks the state.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked, which leaves the state in doubt.
    pub(crate) fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("a holder of the lock panicked")
    }

    /// Changes the state and wakes the blocking queries.
    pub(crate) fn change<R>(&self, change: impl FnOnce(&mut StoreState) -> R) -> R {
        let mut state = self.lock();
        let result = change(&mut state);
        let index = state.keys.index();
        drop(state);
        self.changes.send_replace(index);
        result
    }
}
