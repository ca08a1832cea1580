//! Handling of requests, from admission to the response.

mod agent_call;
mod hedged_run;
mod hedging;
mod keyed_request;
mod ledger_guard;
mod remote_run;
mod request_body;
mod request_handler;
mod request_headers;
mod request_run;
mod response_recorder;
mod run_response;
mod simple_response;
mod slot_scheduler;
mod whole_response;

pub(crate) use agent_call::{
    answer_agent_call,
    serve_agent_calls,
    AgentCall, //
};
pub(crate) use hedging::{
    Hedging,
    HedgingParts, //
};
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
