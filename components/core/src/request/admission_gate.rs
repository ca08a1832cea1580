//! Admission of requests to one server.

use super::{
    request_queue::{
        QueueRank,
        RequestQueue, //
    },
    ticket_arena::{
        TicketArena,
        TicketState, //
    },
    AdaptiveLimit,
    AdmissionGateBuilder,
    AdmissionVerdict,
    RefusalReason,
    RequestOffer,
    RequestResult,
    RequestTicket,
    WarmupRamp, //
};
use crate::Millis;

/// Effect of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelEffect {
    /// The request waited and was never started.
    NeverStarted,
    /// The request ran and has given its slot back.
    Stopped,
    /// The request had ended before.
    Stale,
}

/// Decides which requests run on one server, and when.
///
/// Slots are the hard limit; the adaptive limit and the warm-up apply below them. After every call
/// that can free a slot or raise the limit, the caller runs what [`start_next`] returns until it
/// returns `None`.
///
/// [`start_next`]: AdmissionGate::start_next
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    slots: u32,
    limit: AdaptiveLimit,
    ramp: WarmupRamp,
    arena: TicketArena,
    queue: RequestQueue,
    in_flight: u32,
    arrivals: u64,
}

impl AdmissionGate {
    /// Returns the builder of a gate for a server with `slots`.
    pub fn builder(slots: u32) -> AdmissionGateBuilder {
        AdmissionGateBuilder::new(slots)
    }

    pub(super) fn from_builder(builder: AdmissionGateBuilder) -> AdmissionGate {
        AdmissionGate {
            slots: builder.slots,
            limit: builder.limit,
            ramp: builder.ramp,
            arena: TicketArena::default(),
            queue: RequestQueue::new(builder.queue),
            in_flight: 0,
            arrivals: 0,
        }
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Millis, offer: RequestOffer) -> AdmissionVerdict {
        if offer.deadline <= now {
            return AdmissionVerdict::Refused(RefusalReason::DeadlinePassed);
        }
        if self.slots == 0 {
            return AdmissionVerdict::Refused(RefusalReason::NoSlots);
        }
        let rank = self.rank_of(offer);
        let is_next = self.queue.first().is_none_or(|first| rank < first);
        if is_next && self.has_room() {
            return AdmissionVerdict::Run(self.start_new());
        }
        self.enqueue(rank)
    }

    /// Starts the next queued request, if the limit allows one.
    ///
    /// A request whose deadline has passed is never started; [`AdmissionGate::expire`] returns it.
    pub fn start_next(&mut self, now: Millis) -> Option<RequestTicket> {
        if !self.has_room() {
            return None;
        }
        let (rank, ticket) = self.queue.find(|rank| rank.deadline > now)?;
        self.queue.remove(rank);
        let state = self.running();
        self.arena.set(ticket, state);
        self.in_flight += 1;
        Some(ticket)
    }

    /// Takes back the slot of a request that ran, and returns whether it still held one.
    ///
    /// Queued and stale tickets change nothing.
    pub fn finish(&mut self, now: Millis, ticket: RequestTicket, result: RequestResult) -> bool {
        let Some(TicketState::Running { epoch }) = self.arena.get(ticket) else {
            return false;
        };
        self.arena.remove(ticket);
        self.limit.record(now, self.slots, self.in_flight, result);
        self.ramp.record(self.slots, epoch, result);
        self.in_flight -= 1;
        true
    }

    /// Withdraws a request in whatever state it is.
    ///
    /// For a running request, the caller first closes the connection to the server.
    pub fn cancel(&mut self, _now: Millis, ticket: RequestTicket) -> CancelEffect {
        match self.arena.remove(ticket) {
            Some(TicketState::Queued(rank)) => {
                self.queue.remove(rank);
                CancelEffect::NeverStarted
            }
            Some(TicketState::Running { .. }) => {
                self.in_flight -= 1;
                CancelEffect::Stopped
            }
            None => CancelEffect::Stale,
        }
    }

    /// Removes and returns the queued requests whose deadline has passed; none was started.
    pub fn expire(&mut self, now: Millis) -> Vec<RequestTicket> {
        let expired = self.queue.take_expired(now);
        for ticket in &expired {
            self.arena.remove(*ticket);
        }
        expired
    }

    /// Returns the time of the next useful call of [`AdmissionGate::expire`].
    pub fn next_expiry(&self) -> Option<Millis> {
        self.queue.earliest_deadline()
    }

    /// Changes the slots, when a version of the configuration does.
    ///
    /// Requests in flight go on; none is started until they fit.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Restarts the warm-up, when the server's instance has changed.
    pub fn restart_warmup(&mut self) {
        self.ramp.restart();
    }

    /// Returns the requests that may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit.limit(self.slots).min(self.ramp.allowed())
    }

    /// Returns the requests that run.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns running and waiting requests in 1/255 of the limit.
    pub fn load(&self) -> u8 {
        let held = u64::from(self.in_flight) + self.queue.len() as u64;
        share(held, u64::from(self.limit()))
    }

    /// Returns the share of the slots that the warm-up allows, in 1/255.
    pub fn warmth(&self) -> u8 {
        share(u64::from(self.ramp.allowed()), u64::from(self.slots))
    }

    fn has_room(&self) -> bool {
        self.in_flight < self.limit()
    }

    fn rank_of(&mut self, offer: RequestOffer) -> QueueRank {
        self.arrivals += 1;
        QueueRank {
            class: offer.class,
            deadline: offer.deadline,
            order: self.arrivals,
        }
    }

    fn running(&self) -> TicketState {
        TicketState::Running {
            epoch: self.ramp.epoch(),
        }
    }

    fn start_new(&mut self) -> RequestTicket {
        self.in_flight += 1;
        self.arena.insert(self.running())
    }

    fn enqueue(&mut self, rank: QueueRank) -> AdmissionVerdict {
        let mut evicted = None;
        if self.queue.is_full() {
            evicted = self.evict_below(rank);
            if evicted.is_none() {
                return AdmissionVerdict::Refused(RefusalReason::QueueFull);
            }
        }
        let ticket = self.arena.insert(TicketState::Queued(rank));
        self.queue.insert(rank, ticket);
        AdmissionVerdict::Queued { ticket, evicted }
    }

    /// Removes the last queued request if its class is lower than that of `rank`.
    fn evict_below(&mut self, rank: QueueRank) -> Option<RequestTicket> {
        let (last, ticket) = self.queue.last()?;
        if last.class <= rank.class {
            return None;
        }
        self.queue.remove(last);
        self.arena.remove(ticket);
        Some(ticket)
    }
}

/// Returns `part` of `whole` in 1/255, at most 255.
fn share(part: u64, whole: u64) -> u8 {
    if whole == 0 {
        return u8::MAX;
    }
    (part * 255 / whole).min(255) as u8
}
