//! Arena of the requests that admission knows.

use super::request_queue::QueueRank;
use crate::version::PriorityClass;

/// Key of a request in the arena of one [`AdmissionController`](super::AdmissionController).
///
/// The generation distinguishes the requests that use one place in turn, so a ticket of a request
/// that has ended matches nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket {
    index: u32,
    generation: u32,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug)]
pub(super) enum TicketState {
    /// The request waits at this rank.
    Queued(QueueRank),
    /// The request holds a slot.
    Running {
        /// Class of the request.
        class: PriorityClass,
        /// Epoch of the warm-up at the start.
        epoch: u32,
    },
}

#[derive(Clone, Debug)]
struct Place {
    generation: u32,
    state: Option<TicketState>,
}

/// Places of requests, reused after each end.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketArena {
    places: Vec<Place>,
    vacant: Vec<u32>,
}

impl TicketArena {
    /// Adds a request and returns its ticket.
    pub(super) fn insert(&mut self, state: TicketState) -> RequestTicket {
        let index = self.vacant.pop().unwrap_or_else(|| self.grow());
        let place = &mut self.places[index as usize];
        place.state = Some(state);
        RequestTicket {
            index,
            generation: place.generation,
        }
    }

    /// Returns the state of a request, or `None` for a stale ticket.
    pub(super) fn get(&self, ticket: RequestTicket) -> Option<TicketState> {
        let place = self.places.get(ticket.index as usize)?;
        place
            .state
            .filter(|_| place.generation == ticket.generation)
    }

    /// Replaces the state of a request; a stale ticket changes nothing.
    pub(super) fn set(&mut self, ticket: RequestTicket, state: TicketState) {
        if self.get(ticket).is_some() {
            self.places[ticket.index as usize].state = Some(state);
        }
    }

    /// Removes a request and returns its last state, or `None` for a stale ticket.
    pub(super) fn remove(&mut self, ticket: RequestTicket) -> Option<TicketState> {
        let state = self.get(ticket)?;
        let place = &mut self.places[ticket.index as usize];
        place.state = None;
        place.generation = place.generation.wrapping_add(1);
        self.vacant.push(ticket.index);
        Some(state)
    }

    fn grow(&mut self) -> u32 {
        self.places.push(Place {
            generation: 0,
            state: None,
        });
        (self.places.len() - 1) as u32
    }
}
