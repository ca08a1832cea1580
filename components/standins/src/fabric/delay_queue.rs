//! Queue of delayed datagrams.

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

/// Most items in the queue; limits memory to about 20 MB of full datagrams.
const MAX_QUEUED_ITEMS: usize = 10_000;

struct QueuedItem<T> {
    due: Instant,
    item: T,
}

impl<T> PartialEq for QueuedItem<T> {
    fn eq(&self, other: &QueuedItem<T>) -> bool {
        self.due == other.due
    }
}

impl<T> Eq for QueuedItem<T> {}

impl<T> PartialOrd for QueuedItem<T> {
    fn partial_cmp(&self, other: &QueuedItem<T>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for QueuedItem<T> {
    fn cmp(&self, other: &QueuedItem<T>) -> Ordering {
        self.due.cmp(&other.due)
    }
}

/// Queue of items, ordered by the time at which they are due.
///
/// One task empties the queue. A sleeping task per item would reorder datagrams with a constant
/// delay when the runtime has several threads.
pub(crate) struct DelayQueue<T> {
    heap: Mutex<BinaryHeap<Reverse<QueuedItem<T>>>>,
    added: Notify,
}

impl<T> DelayQueue<T> {
    pub(crate) fn new() -> DelayQueue<T> {
        DelayQueue {
            heap: Mutex::new(BinaryHeap::new()),
            added: Notify::new(),
        }
    }

    /// Adds an item, unless the queue is full, and returns whether it was added.
    pub(crate) fn push(&self, due: Instant, item: T) -> bool {
        let mut heap = self.lock();
        if heap.len() >= MAX_QUEUED_ITEMS {
            return false;
        }
        heap.push(Reverse(QueuedItem { due, item }));
        drop(heap);
        self.added.notify_one();
        true
    }

    /// Waits until the next item is due and returns it.
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

    /// Returns an item that is due, or else the time at which the first one will be.
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
    fn lock(&self) -> MutexGuard<'_, BinaryHeap<Reverse<QueuedItem<T>>>> {
        self.heap.lock().expect("a holder of the lock panicked")
    }
}
