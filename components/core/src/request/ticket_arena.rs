//! Arena of the queued and running requests of an admission controller.

use super::QueueRank;
use crate::version::PriorityClass;

/// Key of a request in the arena of one [`AdmissionController`](super::AdmissionController).
///
/// The generation distinguishes the requests that use the same arena entry in turn, so the ticket
/// of a request that has ended matches nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestTicket {
    index: u32,
    generation: u32,
}

/// State of a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum TicketState {
    /// The request is queued with this rank.
    Queued(QueueRank<PriorityClass>),
    /// The request holds a slot.
    Running {
        class: PriorityClass,
        /// Epoch of the warm-up ramp when the request started.
        epoch: u32,
    },
}

#[derive(Clone, Debug)]
struct ArenaEntry {
    generation: u32,
    state: Option<TicketState>,
}

/// Generational arena, whose entries are reused after a request has ended.
#[derive(Clone, Debug, Default)]
pub(super) struct TicketArena {
    entries: Vec<ArenaEntry>,
    free: Vec<u32>,
}

impl TicketArena {
    /// Adds a request and returns its ticket.
    pub(super) fn insert(&mut self, state: TicketState) -> RequestTicket {
        let index = self.free.pop().unwrap_or_else(|| self.grow());
        let entry = &mut self.entries[index as usize];
        entry.state = Some(state);
        RequestTicket {
            index,
            generation: entry.generation,
        }
    }

    /// Returns the state of a request, or `None` for a stale ticket.
    pub(super) fn get(&self, ticket: RequestTicket) -> Option<TicketState> {
        let entry = self.entries.get(ticket.index as usize)?;
        entry
            .state
            .filter(|_| entry.generation == ticket.generation)
    }

    /// Replaces the state of a request; a stale ticket changes nothing.
    pub(super) fn set(&mut self, ticket: RequestTicket, state: TicketState) {
        if self.get(ticket).is_some() {
            self.entries[ticket.index as usize].state = Some(state);
        }
    }

    /// Removes a request and returns its last state, or `None` for a stale ticket.
    pub(super) fn remove(&mut self, ticket: RequestTicket) -> Option<TicketState> {
        let state = self.get(ticket)?;
        let entry = &mut self.entries[ticket.index as usize];
        entry.state = None;
        entry.generation = entry.generation.wrapping_add(1);
        self.free.push(ticket.index);
        Some(state)
    }

    fn grow(&mut self) -> u32 {
        self.entries.push(ArenaEntry {
            generation: 0,
            state: None,
        });
        (self.entries.len() - 1) as u32
    }
}
