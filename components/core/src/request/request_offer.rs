//! Input and result of the admission decision.

use super::RequestTicket;
use crate::{
    version::PriorityClass,
    Millis, //
};

/// A request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOffer {
    /// Priority class of the request's route.
    pub class: PriorityClass,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Millis,
}

/// Decision on a request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot and is to be sent to the server now.
    Run(RequestTicket),
    /// The request is queued.
    Queued {
        /// Ticket of the queued request.
        ticket: RequestTicket,
        /// A queued request of a lower class that was removed to make room and was never started.
        evicted: Option<RequestTicket>,
    },
    /// The request was not started and never will be.
    Refused(RefusalReason),
}

/// Reason why a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full of requests of the same or a higher class.
    QueueFull,
    /// The deadline had passed on arrival.
    DeadlinePassed,
    /// The pool gives the server no slots.
    NoSlots,
}
