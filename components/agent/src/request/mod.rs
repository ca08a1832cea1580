//! What lives for one request.

mod keyed_request;
mod request_path;
mod request_run;
mod simple_answer;
mod slot_keeper;

pub(crate) use keyed_request::{
    answer_query,
    SharedLedger, //
};
pub(crate) use request_path::{
    RequestPath,
    RequestPathParts,
    RequestStream, //
};
pub(crate) use slot_keeper::{
    SlotKeeper,
    SlotPermit, //
};
