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
    AdmissionControllerBuilder,
    AdmissionDecision,
    LoadMeter,
    RefusalReason,
    RequestOffer,
    RequestOutcome,
    RequestResult,
    RequestTicket,
    WarmupRamp, //
};
use crate::{
    version::PriorityClass,
    Millis, //
};

/// A timeout counts against the server after this many times its usual latency.
const PATIENCE_FACTOR: f64 = 2.0;

/// Time after a dispatch request for which slots are kept free of bulk. Bulk holds its slots long,
/// and a dispatch request would wait for one to end; without dispatch, bulk may use them all.
const RESERVE_TIME: Millis = Millis(10_000);

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
/// [`start_next`]: AdmissionController::start_next
#[derive(Clone, Debug)]
pub struct AdmissionController {
    slots: u32,
    limit: AdaptiveLimit,
    ramp: WarmupRamp,
    arena: TicketArena,
    queue: RequestQueue,
    in_flight: u32,
    bulk_in_flight: u32,
    bulk_reserve: u32,
    early_expiry: bool,
    last_dispatch: Option<Millis>,
    arrivals: u64,
    meter: LoadMeter,
}

impl AdmissionController {
    /// Returns the builder of a gate for a server with `slots`.
    pub fn builder(slots: u32) -> AdmissionControllerBuilder {
        AdmissionControllerBuilder::new(slots)
    }

    pub(super) fn from_builder(builder: AdmissionControllerBuilder) -> AdmissionController {
        AdmissionController {
            slots: builder.slots,
            limit: builder.limit,
            ramp: builder.ramp,
            arena: TicketArena::default(),
            queue: RequestQueue::new(builder.queue),
            in_flight: 0,
            bulk_in_flight: 0,
            bulk_reserve: builder.bulk_reserve,
            early_expiry: builder.early_expiry,
            last_dispatch: None,
            arrivals: 0,
            meter: LoadMeter::default(),
        }
    }

    /// Offers a request.
    ///
    /// The caller calls [`AdmissionController::expire`] first; until then, requests that can't be started
    /// any more hold places in the queue.
    pub fn offer(&mut self, now: Millis, offer: RequestOffer) -> AdmissionDecision {
        self.meter.update(now, self.held());
        if offer.deadline <= now {
            return AdmissionDecision::Refused(RefusalReason::DeadlinePassed);
        }
        if self.slots == 0 {
            return AdmissionDecision::Refused(RefusalReason::NoSlots);
        }
        if offer.class == PriorityClass::Dispatch {
            self.last_dispatch = Some(now);
        }
        let rank = self.rank_of(offer);
        let is_next = self.queue.first().is_none_or(|first| rank < first);
        if is_next && self.has_room_for(now, rank.class) {
            return AdmissionDecision::Run(self.start_new(rank.class));
        }
        self.enqueue(rank)
    }

    /// Starts the next queued request, if the limit allows one.
    ///
    /// A request that can't be expected to meet its deadline is never started;
    /// [`AdmissionController::expire`] returns it.
    pub fn start_next(&mut self, now: Millis) -> Option<RequestTicket> {
        let latest = self.latest_hopeless(now);
        let is_eligible =
            |rank: &QueueRank| rank.deadline > latest && self.has_room_for(now, rank.class);
        let (rank, ticket) = self.queue.find(is_eligible)?;
        self.queue.remove(rank);
        let state = self.start(rank.class);
        self.arena.set(ticket, state);
        Some(ticket)
    }

    /// Takes back the slot of a request that ran, and returns whether it still held one.
    ///
    /// Queued and stale tickets change nothing.
    pub fn finish(&mut self, now: Millis, ticket: RequestTicket, result: RequestResult) -> bool {
        let Some(TicketState::Running { class, epoch }) = self.arena.get(ticket) else {
            return false;
        };
        self.arena.remove(ticket);
        self.meter.update(now, self.held());
        let result = self.judged(result);
        if result.outcome != RequestOutcome::Abandoned {
            self.meter.record(result.outcome.is_failure());
        }
        self.limit.record(now, self.slots, self.in_flight, result);
        self.ramp.record(self.slots, epoch, result);
        self.stop(class);
        true
    }

    /// Withdraws a request in whatever state it is.
    ///
    /// For a running request, the caller first closes the connection to the server.
    pub fn cancel(&mut self, now: Millis, ticket: RequestTicket) -> CancelEffect {
        self.meter.update(now, self.held());
        match self.arena.remove(ticket) {
            Some(TicketState::Queued(rank)) => {
                self.queue.remove(rank);
                CancelEffect::NeverStarted
            }
            Some(TicketState::Running { class, .. }) => {
                self.stop(class);
                CancelEffect::Stopped
            }
            None => CancelEffect::Stale,
        }
    }

    /// Removes and returns the queued requests that can't meet their deadline; none was started.
    ///
    /// These are the requests for which less than the usual latency remains. If they ran, an
    /// overloaded server would spend its time on responses that come too late.
    pub fn expire(&mut self, now: Millis) -> Vec<RequestTicket> {
        self.meter.update(now, self.held());
        let expired = self.queue.take_expired(self.latest_hopeless(now));
        for ticket in &expired {
            self.arena.remove(*ticket);
        }
        expired
    }

    /// Returns the time of the next useful call of [`AdmissionController::expire`].
    pub fn next_expiry(&self) -> Option<Millis> {
        let earliest = self.queue.earliest_deadline()?;
        Some(Millis(earliest.0.saturating_sub(self.usual_latency().0)))
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

    /// Returns the load of the server, see [`LoadMeter::load`].
    pub fn load(&self, now: Millis) -> u8 {
        self.meter.load(now, self.held(), self.limit())
    }

    /// Returns the share of the slots that the warm-up allows, in 1/255.
    pub fn warmup_level(&self) -> u8 {
        share(u64::from(self.ramp.allowed()), u64::from(self.slots))
    }

    /// Returns the result as evidence about the server.
    ///
    /// A request that was stopped before the usual latency had passed ran out of time in the queue.
    fn judged(&self, result: RequestResult) -> RequestResult {
        let usual = self.ramp.norm().mean_ms().unwrap_or(0.0);
        let cut_short = (result.latency.0 as f64) < usual * PATIENCE_FACTOR;
        if result.outcome != RequestOutcome::TimedOut || !cut_short {
            return result;
        }
        RequestResult {
            outcome: RequestOutcome::Abandoned,
            ..result
        }
    }

    fn held(&self) -> usize {
        self.in_flight as usize + self.queue.len()
    }

    fn has_room_for(&self, now: Millis, class: PriorityClass) -> bool {
        if self.in_flight >= self.limit() {
            return false;
        }
        class != PriorityClass::Bulk || self.bulk_in_flight < self.bulk_limit(now)
    }

    /// Returns the bulk requests that may run at once; one at least, or bulk would starve.
    fn bulk_limit(&self, now: Millis) -> u32 {
        let recent = |last: Millis| now.since(last) <= RESERVE_TIME;
        if !self.last_dispatch.is_some_and(recent) {
            return self.limit();
        }
        self.limit().saturating_sub(self.bulk_reserve).max(1)
    }

    /// Returns the latest deadline that a request started now can't be expected to meet.
    fn latest_hopeless(&self, now: Millis) -> Millis {
        now.plus(self.usual_latency())
    }

    fn usual_latency(&self) -> Millis {
        let usual = self.ramp.norm().mean_ms().filter(|_| self.early_expiry);
        Millis(usual.unwrap_or(0.0) as u64)
    }

    fn rank_of(&mut self, offer: RequestOffer) -> QueueRank {
        self.arrivals += 1;
        QueueRank {
            class: offer.class,
            deadline: offer.deadline,
            order: self.arrivals,
        }
    }

    fn start(&mut self, class: PriorityClass) -> TicketState {
        self.in_flight += 1;
        self.bulk_in_flight += u32::from(class == PriorityClass::Bulk);
        TicketState::Running {
            class,
            epoch: self.ramp.epoch(),
        }
    }

    fn stop(&mut self, class: PriorityClass) {
        self.in_flight -= 1;
        self.bulk_in_flight -= u32::from(class == PriorityClass::Bulk);
    }

    fn start_new(&mut self, class: PriorityClass) -> RequestTicket {
        let state = self.start(class);
        self.arena.insert(state)
    }

    fn enqueue(&mut self, rank: QueueRank) -> AdmissionDecision {
        let mut evicted = None;
        if self.queue.is_full() {
            evicted = self.evict_below(rank);
            if evicted.is_none() {
                return AdmissionDecision::Refused(RefusalReason::QueueFull);
            }
        }
        let ticket = self.arena.insert(TicketState::Queued(rank));
        self.queue.insert(rank, ticket);
        AdmissionDecision::Queued { ticket, evicted }
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
