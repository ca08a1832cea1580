//! Bounded queue of requests, ordered by class, then deadline.

use super::RequestTicket;
use crate::{
    version::PriorityClass,
    Millis, //
};

/// Sort key of a queued request; smaller ranks run earlier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueRank {
    pub(super) class: PriorityClass,
    pub(super) deadline: Millis,
    /// Number in order of arrival, which makes ranks unique.
    pub(super) order: u64,
}

/// Queued requests, sorted so that the next one to run is at the end.
#[derive(Clone, Debug)]
pub(super) struct RequestQueue {
    capacity: usize,
    waiting: Vec<(QueueRank, RequestTicket)>,
}

impl RequestQueue {
    /// Creates an empty queue of at most `capacity` requests.
    pub(super) fn new(capacity: usize) -> RequestQueue {
        RequestQueue {
            capacity,
            waiting: Vec::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn is_full(&self) -> bool {
        self.waiting.len() >= self.capacity
    }

    /// Returns the rank of the request to run next.
    pub(super) fn first(&self) -> Option<QueueRank> {
        self.waiting.last().map(|(rank, _)| *rank)
    }

    /// Returns the request that would run last.
    pub(super) fn last(&self) -> Option<(QueueRank, RequestTicket)> {
        self.waiting.first().copied()
    }

    pub(super) fn insert(&mut self, rank: QueueRank, ticket: RequestTicket) {
        let at = self.waiting.partition_point(|(other, _)| *other > rank);
        self.waiting.insert(at, (rank, ticket));
    }

    /// Removes the request with this rank, if it is queued.
    pub(super) fn remove(&mut self, rank: QueueRank) {
        let at = self.waiting.partition_point(|(other, _)| *other > rank);
        if self
            .waiting
            .get(at)
            .is_some_and(|(found, _)| *found == rank)
        {
            self.waiting.remove(at);
        }
    }

    /// Returns the first request in running order that `is_eligible` accepts.
    pub(super) fn find(
        &self,
        is_eligible: impl Fn(&QueueRank) -> bool,
    ) -> Option<(QueueRank, RequestTicket)> {
        let mut ordered = self.waiting.iter().rev();
        ordered.find(|(rank, _)| is_eligible(rank)).copied()
    }

    /// Removes and returns the requests whose deadline is at or before `now`.
    pub(super) fn take_expired(&mut self, now: Millis) -> Vec<RequestTicket> {
        let expired = |rank: &QueueRank| rank.deadline <= now;
        let tickets = self.waiting.iter().filter(|(rank, _)| expired(rank));
        let tickets = tickets.map(|(_, ticket)| *ticket).collect();
        self.waiting.retain(|(rank, _)| !expired(rank));
        tickets
    }

    /// Returns the earliest deadline of a queued request.
    pub(super) fn earliest_deadline(&self) -> Option<Millis> {
        self.waiting.iter().map(|(rank, _)| rank.deadline).min()
    }
}
