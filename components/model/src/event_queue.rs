//! Queue of the future events of a simulation.

use std::{
    cmp::Reverse,
    collections::BinaryHeap, //
};

use carobdrum_core::Millis;

/// Queue of events in the order of their times; events of the same time come in the order in which
/// they were added.
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

    /// Adds an event that happens at `at`.
    pub fn add(&mut self, at: Millis, event: E) {
        self.added += 1;
        self.heap.push(Reverse((at, self.added, event)));
    }

    /// Removes the next event, and returns it with its time if that is before `end`.
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
