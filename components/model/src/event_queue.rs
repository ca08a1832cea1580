//! Future events of a model, in the order of their time.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use carobdrum_core::Millis;

/// Queue of events; events of one time come in the order of their addition.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<(Millis, u64, E)>>,
    added: u64,
}

impl<E: Ord> EventQueue<E> {
    /// Creates an empty queue.
    pub fn new() -> EventQueue<E> {
        EventQueue {
            heap: BinaryHeap::new(),
            added: 0,
        }
    }

    /// Adds an event.
    pub fn add(&mut self, at: Millis, event: E) {
        self.added += 1;
        self.heap.push(Reverse((at, self.added, event)));
    }

    /// Removes and returns the next event and its time, if it is before `end`.
    pub fn next(&mut self, end: Millis) -> Option<(Millis, E)> {
        let Reverse((at, _, event)) = self.heap.pop()?;
        (at < end).then_some((at, event))
    }
}

impl<E: Ord> Default for EventQueue<E> {
    fn default() -> EventQueue<E> {
        EventQueue::new()
    }
}
