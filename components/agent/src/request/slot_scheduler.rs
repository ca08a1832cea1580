//! Queueing of requests for a slot of the backend server.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

use carobdrum_core::{
    request::{
        AdmissionController,
        AdmissionDecision,
        RefusalReason,
        RequestOffer,
        RequestResult,
        RequestTicket, //
    },
    version::PriorityClass,
    Millis,
};
use tokio::{
    sync::oneshot,
    time::timeout_at, //
};

use crate::process::{
    AgentMetrics,
    AgentShared, //
};

/// A queued request with the channel that wakes it.
struct QueuedRequest {
    ticket: RequestTicket,
    wake: oneshot::Sender<()>,
}

struct SchedulerState {
    controller: AdmissionController,
    /// Sorted by ticket.
    queued: Vec<QueuedRequest>,
}

/// Assigns the slots of the server to requests as the admission controller decides.
pub(crate) struct SlotScheduler {
    state: RefCell<SchedulerState>,
    shared: Arc<AgentShared>,
    metrics: AgentMetrics,
}

impl SlotScheduler {
    /// Creates the scheduler of an admission controller.
    pub(crate) fn new(
        controller: AdmissionController,
        shared: Arc<AgentShared>,
        metrics: AgentMetrics,
    ) -> Rc<SlotScheduler> {
        let scheduler = SlotScheduler {
            state: RefCell::new(SchedulerState {
                controller,
                queued: Vec::new(),
            }),
            shared,
            metrics,
        };
        scheduler.publish_state();
        Rc::new(scheduler)
    }

    /// Sets the number of slots from the version in force.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.state.borrow_mut().controller.set_slots(slots);
        self.start_queued();
    }

    /// Ends the waits of requests whose deadline has passed, and publishes the current load, which
    /// also changes with time alone.
    pub(crate) fn refresh(&self) {
        self.start_queued();
    }

    /// Returns a slot if one is free at once and no request is queued.
    pub(crate) fn start_if_free(self: &Rc<Self>, class: PriorityClass) -> Option<SlotPermit> {
        let now = self.shared.clock.now();
        let started = self.state.borrow_mut().controller.start_if_free(now, class);
        self.publish_state();
        started.map(|ticket| SlotPermit::new(self, ticket))
    }

    /// Returns the number of requests that wait for a slot.
    pub(crate) fn queued(&self) -> usize {
        self.state.borrow().controller.queued()
    }

    /// Waits for a slot until the deadline of `offer`.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request was refused. It will not be started later.
    pub(crate) async fn admit(
        self: &Rc<Self>,
        offer: RequestOffer,
    ) -> Result<SlotPermit, RefusalReason> {
        let decision = self
            .state
            .borrow_mut()
            .controller
            .offer(self.shared.clock.now(), offer);
        self.publish_state();
        match decision {
            AdmissionDecision::Run(ticket) => Ok(SlotPermit::new(self, ticket)),
            AdmissionDecision::Refused(reason) => Err(reason),
            AdmissionDecision::Queued { ticket, evicted } => {
                if let Some(evicted) = evicted {
                    self.remove_queued(evicted);
                }
                self.wait(ticket, offer.deadline).await
            }
        }
    }

    async fn wait(
        self: &Rc<Self>,
        ticket: RequestTicket,
        deadline: Millis,
    ) -> Result<SlotPermit, RefusalReason> {
        let (wake, woken) = oneshot::channel();
        self.enqueue(QueuedRequest { ticket, wake });
        // If this future is dropped while the request is queued, the permit returns the ticket.
        let permit = SlotPermit::new(self, ticket);
        match timeout_at(self.shared.clock.instant(deadline), woken).await {
            Ok(Ok(())) => Ok(permit),
            Ok(Err(_)) => Err(RefusalReason::QueueFull),
            Err(_) => Err(RefusalReason::DeadlinePassed),
        }
    }

    fn enqueue(&self, request: QueuedRequest) {
        let queued = &mut self.state.borrow_mut().queued;
        let index = queued.partition_point(|other| other.ticket < request.ticket);
        queued.insert(index, request);
    }

    /// Removes a request from the queue, which ends its wait.
    fn remove_queued(&self, ticket: RequestTicket) -> Option<QueuedRequest> {
        let queued = &mut self.state.borrow_mut().queued;
        let found = queued.binary_search_by_key(&ticket, |request| request.ticket);
        found.ok().map(|index| queued.remove(index))
    }

    /// Starts queued requests while there are free slots.
    fn start_queued(&self) {
        let now = self.shared.clock.now();
        for expired in self.expired(now) {
            self.remove_queued(expired);
        }
        while let Some(ticket) = self.next(now) {
            if let Some(request) = self.remove_queued(ticket) {
                // The send fails if the request's wait has ended; its permit then returns the
                // ticket.
                let _ = request.wake.send(());
            }
        }
        self.publish_state();
    }

    fn expired(&self, now: Millis) -> Vec<RequestTicket> {
        self.state.borrow_mut().controller.expire(now)
    }

    fn next(&self, now: Millis) -> Option<RequestTicket> {
        self.state.borrow_mut().controller.start_next(now)
    }

    fn finish(&self, ticket: RequestTicket, result: Option<RequestResult>) {
        let now = self.shared.clock.now();
        match result {
            Some(result) => {
                self.state
                    .borrow_mut()
                    .controller
                    .finish(now, ticket, result);
            }
            None => {
                self.state.borrow_mut().controller.cancel(now, ticket);
                self.remove_queued(ticket);
            }
        }
        self.start_queued();
    }

    fn publish_state(&self) {
        let now = self.shared.clock.now();
        let state = self.state.borrow();
        let controller = &state.controller;
        self.shared
            .set_load(controller.load(now), controller.warmup_level());
        self.metrics
            .in_flight
            .set(i64::from(controller.in_flight()));
        self.metrics.limit.set(i64::from(controller.limit()));
        self.metrics.queued.set(controller.queued() as i64);
    }
}

/// A slot of the server or a place in the queue, which is returned on drop.
pub(crate) struct SlotPermit {
    scheduler: Rc<SlotScheduler>,
    ticket: RequestTicket,
    result: Option<RequestResult>,
}

impl SlotPermit {
    fn new(scheduler: &Rc<SlotScheduler>, ticket: RequestTicket) -> SlotPermit {
        SlotPermit {
            scheduler: Rc::clone(scheduler),
            ticket,
            result: None,
        }
    }

    /// Returns the slot with the result of the request.
    pub(crate) fn finish(mut self, result: RequestResult) {
        self.result = Some(result);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.scheduler.finish(self.ticket, self.result);
    }
}
