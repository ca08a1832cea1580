//! Admission of requests to one server.

use super::{
    ticket_arena::{
        TicketArena,
        TicketState, //
    },
    AdaptiveLimit,
    AdmissionControllerBuilder,
    AdmissionDecision,
    LoadMeter,
    QueueRank,
    RankedQueue,
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

/// A timeout counts as a server failure only after this many times the baseline latency.
const TIMEOUT_LATENCY_FACTOR: f64 = 2.0;

/// How long after the latest dispatch request the bulk reserve stays in force. Bulk requests hold
/// their slots for long, and a dispatch request would have to wait for one to end; without dispatch
/// requests, bulk may use all slots.
const BULK_RESERVE_DURATION: Millis = Millis(10_000);

/// What a cancellation did to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelEffect {
    /// The request was queued and was never started.
    NeverStarted,
    /// The request was running and has released its slot.
    Stopped,
    /// The request had already ended.
    Stale,
}

/// Decides which requests run on one server, and when.
///
/// The slots are the hard limit; the adaptive limit and the warm-up limit apply below them. After
/// every call that can free a slot or raise a limit, the owner of the controller calls
/// [`start_next`] until it returns `None` and runs each request that it returns.
///
/// [`start_next`]: AdmissionController::start_next
#[derive(Clone, Debug)]
pub struct AdmissionController {
    slots: u32,
    limit: AdaptiveLimit,
    ramp: WarmupRamp,
    arena: TicketArena,
    queue: RankedQueue<PriorityClass, RequestTicket>,
    queue_capacity: usize,
    in_flight: u32,
    bulk_in_flight: u32,
    bulk_reserve: u32,
    early_expiry: bool,
    last_dispatch: Option<Millis>,
    arrivals: u64,
    meter: LoadMeter,
}

impl AdmissionController {
    /// Returns the builder of a controller for a server that may run `slots` requests at once.
    pub fn builder(slots: u32) -> AdmissionControllerBuilder {
        AdmissionControllerBuilder::new(slots)
    }

    pub(super) fn from_builder(builder: AdmissionControllerBuilder) -> AdmissionController {
        AdmissionController {
            slots: builder.slots,
            limit: builder.limit,
            ramp: builder.ramp,
            arena: TicketArena::default(),
            queue: RankedQueue::default(),
            queue_capacity: builder.queue,
            in_flight: 0,
            bulk_in_flight: 0,
            bulk_reserve: builder.bulk_reserve,
            early_expiry: builder.early_expiry,
            last_dispatch: None,
            arrivals: 0,
            meter: LoadMeter::default(),
        }
    }

    /// Decides whether a request that has just arrived runs, waits or is refused.
    ///
    /// [`AdmissionController::expire`] is to be called first; until then, requests that can no
    /// longer be started take up space in the queue.
    pub fn offer(&mut self, now: Millis, offer: RequestOffer) -> AdmissionDecision {
        self.meter.update(now, self.outstanding());
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
        let is_next = self.queue.first().is_none_or(|(first, _)| rank < first);
        if is_next && self.has_room_for(now, rank.class) {
            return AdmissionDecision::Run(self.start_new(rank.class));
        }
        self.enqueue(rank)
    }

    /// Starts a request that runs only if a slot is free at once, or returns `None`.
    ///
    /// Queued requests come first, so nothing starts while there are any.
    pub fn start_if_free(&mut self, now: Millis, class: PriorityClass) -> Option<RequestTicket> {
        self.meter.update(now, self.outstanding());
        let is_free =
            self.slots > 0 && self.queue.first().is_none() && self.has_room_for(now, class);
        is_free.then(|| self.start_new(class))
    }

    /// Starts the next queued request, if the limits allow one.
    ///
    /// A request that is not expected to meet its deadline is never started;
    /// [`AdmissionController::expire`] removes it.
    pub fn start_next(&mut self, now: Millis) -> Option<RequestTicket> {
        let latest = self.latest_unmeetable_deadline(now);
        let is_eligible = |rank: &QueueRank<PriorityClass>, _: &RequestTicket| {
            rank.deadline > latest && self.has_room_for(now, rank.class)
        };
        let (rank, ticket) = self.queue.find(is_eligible)?;
        self.queue.remove(rank);
        let state = self.start(rank.class);
        self.arena.set(ticket, state);
        Some(ticket)
    }

    /// Releases the slot of a request that has ended, and returns whether it still held one.
    ///
    /// Tickets of queued or ended requests have no effect.
    pub fn finish(&mut self, now: Millis, ticket: RequestTicket, result: RequestResult) -> bool {
        let Some(TicketState::Running { class, epoch }) = self.arena.get(ticket) else {
            return false;
        };
        self.arena.remove(ticket);
        self.meter.update(now, self.outstanding());
        let result = self.as_server_evidence(result);
        if result.outcome != RequestOutcome::Abandoned {
            self.meter.record(result.outcome.is_failure());
        }
        self.limit.record(now, self.slots, self.in_flight, result);
        self.ramp.record(self.slots, epoch, result);
        self.stop(class);
        true
    }

    /// Removes a request, whether it is queued, running or has ended.
    ///
    /// The connection to the server must be closed before a running request is cancelled.
    pub fn cancel(&mut self, now: Millis, ticket: RequestTicket) -> CancelEffect {
        self.meter.update(now, self.outstanding());
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

    /// Removes and returns the queued requests that are not expected to meet their deadline.
    ///
    /// With early expiry, these are the requests whose remaining time is at most the baseline
    /// latency: an overloaded server would otherwise spend its time on responses that come too
    /// late. Without it, they are those whose deadline has passed. None of them was started.
    pub fn expire(&mut self, now: Millis) -> Vec<RequestTicket> {
        self.meter.update(now, self.outstanding());
        let expired = self
            .queue
            .take_expired(self.latest_unmeetable_deadline(now));
        for ticket in &expired {
            self.arena.remove(*ticket);
        }
        expired
    }

    /// Returns when the next queued request expires, or `None` if the queue is empty.
    pub fn next_expiry(&self) -> Option<Millis> {
        let earliest = self.queue.earliest_deadline()?;
        Some(Millis(earliest.0.saturating_sub(self.expected_latency().0)))
    }

    /// Sets the number of slots, which a new version of the configuration may change.
    ///
    /// Running requests continue; no other is started while they exceed the new number.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Restarts the warm-up; to be called when another instance of the server has started.
    pub fn restart_warmup(&mut self) {
        self.ramp.restart();
    }

    /// Returns how many requests may run at once now.
    pub fn limit(&self) -> u32 {
        self.limit.limit(self.slots).min(self.ramp.allowed())
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the load of the server, from 0 to 255, where 128 is its limit; see
    /// [`LoadMeter::load`].
    pub fn load(&self, now: Millis) -> u8 {
        self.meter.load(now, self.outstanding(), self.limit())
    }

    /// Returns the share of the slots that the warm-up allows, in 1/255.
    pub fn warmup_level(&self) -> u8 {
        share(u64::from(self.ramp.allowed()), u64::from(self.slots))
    }

    /// Returns the result as evidence about the server.
    ///
    /// A timeout soon after the start counts as abandoned: the request had used up its time in the
    /// queue, so the timeout says nothing about the server.
    fn as_server_evidence(&self, result: RequestResult) -> RequestResult {
        let expected = self.ramp.baseline().mean_ms().unwrap_or(0.0);
        let cut_short = (result.latency.0 as f64) < expected * TIMEOUT_LATENCY_FACTOR;
        if result.outcome != RequestOutcome::TimedOut || !cut_short {
            return result;
        }
        RequestResult {
            outcome: RequestOutcome::Abandoned,
            ..result
        }
    }

    fn outstanding(&self) -> usize {
        self.in_flight as usize + self.queue.len()
    }

    fn has_room_for(&self, now: Millis, class: PriorityClass) -> bool {
        if self.in_flight >= self.limit() {
            return false;
        }
        class != PriorityClass::Bulk || self.bulk_in_flight < self.bulk_limit(now)
    }

    /// Returns how many bulk requests may run at once; at least one, to prevent starvation.
    fn bulk_limit(&self, now: Millis) -> u32 {
        let recent = |last: Millis| now.since(last) <= BULK_RESERVE_DURATION;
        if !self.last_dispatch.is_some_and(recent) {
            return self.limit();
        }
        self.limit().saturating_sub(self.bulk_reserve).max(1)
    }

    /// Returns the latest deadline that a request started now is not expected to meet.
    fn latest_unmeetable_deadline(&self, now: Millis) -> Millis {
        now.plus(self.expected_latency())
    }

    fn expected_latency(&self) -> Millis {
        let expected = self.ramp.baseline().mean_ms().filter(|_| self.early_expiry);
        Millis(expected.unwrap_or(0.0) as u64)
    }

    fn rank_of(&mut self, offer: RequestOffer) -> QueueRank<PriorityClass> {
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

    fn enqueue(&mut self, rank: QueueRank<PriorityClass>) -> AdmissionDecision {
        let mut evicted = None;
        if self.queue.len() >= self.queue_capacity {
            evicted = self.evict_lower_class(rank);
            if evicted.is_none() {
                return AdmissionDecision::Refused(RefusalReason::QueueFull);
            }
        }
        let ticket = self.arena.insert(TicketState::Queued(rank));
        self.queue.insert(rank, ticket);
        AdmissionDecision::Queued { ticket, evicted }
    }

    /// Removes the queued request that would run last, if its class is lower than that of `rank`.
    fn evict_lower_class(&mut self, rank: QueueRank<PriorityClass>) -> Option<RequestTicket> {
        let (last, ticket) = self.queue.last()?;
        if last.class <= rank.class {
            return None;
        }
        self.queue.remove(last);
        self.arena.remove(ticket);
        Some(ticket)
    }
}

/// Returns the ratio of `part` to `whole` in 1/255, at most 255.
fn share(part: u64, whole: u64) -> u8 {
    if whole == 0 {
        return u8::MAX;
    }
    (part * 255 / whole).min(255) as u8
}
