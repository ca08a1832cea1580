//! Handling of requests, from admission to the response.

mod keyed_request;
mod ledger_guard;
mod request_body;
mod request_handler;
mod request_run;
mod response_recorder;
mod simple_response;
mod slot_scheduler;

pub(crate) use keyed_request::{
    answer_outcome_query,
    SharedLedger, //
};
pub(crate) use request_handler::{
    HandlerParts,
    RequestHandler,
    RequestStream, //
};
pub(crate) use slot_scheduler::{
    SlotPermit, //
    SlotScheduler,
};
