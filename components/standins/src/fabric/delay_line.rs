//! Datagrams that wait for their delay.

use std::{
    cmp::{
        Ordering,
        Reverse, //
    },
    collections::BinaryHeap,
    sync::{
        Mutex,
        MutexGuard, //
    },
};

use tokio::{
    sync::Notify,
    time::Instant, //
};

/// Most items that wait at once; bounds memory to about 20 MB of full datagrams.
const MAX_WAITING: usize = 10_000;

struct Waiting<T> {
    due: Instant,
    item: T,
}

impl<T> PartialEq for Waiting<T> {
    fn eq(&self, other: &Waiting<T>) -> bool {
        self.due == other.due
    }
}

impl<T> Eq for Waiting<T> {}

impl<T> PartialOrd for Waiting<T> {
    fn partial_cmp(&self, other: &Waiting<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Waiting<T> {
    fn cmp(&self, other: &Waiting<T>) -> Ordering {
        self.due.cmp(&other.due)
    }
}

/// Items that wait for their time, in the order of that time.
///
/// One task empties the line. A sleeping task for each item reorders datagrams of a constant delay
/// when the runtime has several threads.
pub(crate) struct DelayLine<T> {
    waiting: Mutex<BinaryHeap<Reverse<Waiting<T>>>>,
    added: Notify,
}

impl<T> DelayLine<T> {
    pub(crate) fn new() -> DelayLine<T> {
        DelayLine {
            waiting: Mutex::new(BinaryHeap::new()),
            added: Notify::new(),
        }
    }

    /// Adds an item, unless too many wait, and returns whether it was added.
    pub(crate) fn push(&self, due: Instant, item: T) -> bool {
        let mut waiting = self.lock();
        if waiting.len() >= MAX_WAITING {
            return false;
        }
        waiting.push(Reverse(Waiting { due, item }));
        drop(waiting);
        self.added.notify_one();
        true
    }

    /// Waits for the next item whose time has come.
    pub(crate) async fn next(&self) -> T {
        loop {
            let due = match self.pop_due(Instant::now()) {
                Ok(item) => return item,
                Err(due) => due,
            };
            let added = self.added.notified();
            match due {
                Some(due) => {
                    let _ = tokio::time::timeout_at(due, added).await;
                }
                None => added.await,
            }
        }
    }

    /// Returns the item whose time has come, or else the time of the first one.
    fn pop_due(&self, now: Instant) -> Result<T, Option<Instant>> {
        let mut heap = self.lock();
        let due = heap.peek().map(|Reverse(first)| first.due);
        if due.is_none_or(|due| due > now) {
            return Err(due);
        }
        let first = heap.pop();
        first.map(|Reverse(first)| first.item).ok_or(None)
    }

    /// Locks the heap.
    ///
    /// # Panics
    ///
    /// Panics if a holder of the lock has panicked.
    fn lock(&self) -> MutexGuard<'_, BinaryHeap<Reverse<Waiting<T>>>> {
        self.waiting.lock().expect("a holder of the lock panicked")
    }
}
