//! What a request asks of admission, and the verdict.

use super::RequestTicket;
use crate::{
    version::PriorityClass,
    Millis, //
};

/// A request that asks to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestOffer {
    /// Importance of the request's route.
    pub class: PriorityClass,
    /// Time after which nobody waits for the response.
    pub deadline: Millis,
}

/// Verdict on an offered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request holds a slot and is to be sent to the server now.
    Run(RequestTicket),
    /// The request waits.
    Queued {
        /// Ticket of the request.
        ticket: RequestTicket,
        /// A queued request of a lower class that lost its place and was never started.
        evicted: Option<RequestTicket>,
    },
    /// The request was not started and never will be.
    Refused(RefusalReason),
}

/// Reason why a request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The queue is full of requests that are at least as important.
    QueueFull,
    /// The deadline had passed on arrival.
    DeadlinePassed,
    /// The pool gives the server no slots.
    NoSlots,
}
