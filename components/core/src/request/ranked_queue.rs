//! Queue of requests, ordered by class, then deadline.

use crate::Millis;

/// Sort key of a queued request; smaller ranks run earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank<C> {
    /// Class of the request; smaller ones are more urgent.
    pub class: C,
    /// Time by which the request is to be answered.
    pub deadline: Millis,
    /// Number in order of arrival, which makes ranks unique.
    pub order: u64,
}

/// Queued requests, sorted so that the next one to run is at the end.
///
/// `C` is the type of the classes, `T` what identifies a request.
#[derive(Clone, Debug)]
pub struct RankedQueue<C, T> {
    waiting: Vec<(QueueRank<C>, T)>,
}

impl<C, T> Default for RankedQueue<C, T> {
    /// Creates an empty queue.
    fn default() -> RankedQueue<C, T> {
        RankedQueue {
            waiting: Vec::new(),
        }
    }
}

impl<C: Copy + Ord, T: Copy> RankedQueue<C, T> {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the request to run next.
    pub fn first(&self) -> Option<(QueueRank<C>, T)> {
        self.waiting.last().copied()
    }

    /// Returns the request that would run last.
    pub fn last(&self) -> Option<(QueueRank<C>, T)> {
        self.waiting.first().copied()
    }

    /// Returns the requests in running order.
    pub fn iter(&self) -> impl Iterator<Item = &(QueueRank<C>, T)> {
        self.waiting.iter().rev()
    }

    /// Returns the number of queued requests of this class and of more urgent ones.
    pub fn count_up_to(&self, class: C) -> usize {
        let less_urgent = self.waiting.partition_point(|(rank, _)| rank.class > class);
        self.waiting.len() - less_urgent
    }

    /// Adds a request.
    pub fn insert(&mut self, rank: QueueRank<C>, request: T) {
        let at = self.waiting.partition_point(|(other, _)| *other > rank);
        self.waiting.insert(at, (rank, request));
    }

    /// Removes the request with this rank, if it is queued.
    pub fn remove(&mut self, rank: QueueRank<C>) {
        let at = self.waiting.partition_point(|(other, _)| *other > rank);
        if self
            .waiting
            .get(at)
            .is_some_and(|(found, _)| *found == rank)
        {
            self.waiting.remove(at);
        }
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Returns the first request in running order that `is_eligible` accepts.
    pub fn find(
        &self,
        is_eligible: impl Fn(&QueueRank<C>, &T) -> bool,
    ) -> Option<(QueueRank<C>, T)> {
        self.iter()
            .find(|(rank, request)| is_eligible(rank, request))
            .copied()
    }

    /// Removes and returns the requests whose deadline is at or before `now`.
    pub fn take_expired(&mut self, now: Millis) -> Vec<T> {
        let expired = |rank: &QueueRank<C>| rank.deadline <= now;
        let requests = self.waiting.iter().filter(|(rank, _)| expired(rank));
        let requests = requests.map(|(_, request)| *request).collect();
        self.waiting.retain(|(rank, _)| !expired(rank));
        requests
    }

    /// Returns the earliest deadline of a queued request.
    pub fn earliest_deadline(&self) -> Option<Millis> {
        self.waiting.iter().map(|(rank, _)| rank.deadline).min()
    }
}
