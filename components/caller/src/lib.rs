//! An HTTP/3 caller that checks every answer.
//!
//! [`CallerClient`] opens flows to a service and [`CallerFlow`] sends requests on them; an answer is
//! returned only when it is complete. [`LoadRun`] keeps flows open, sends a bounded load and compares
//! every answer with what the request must produce. Modules are grouped by the life span of what
//! they hold: [`request`], [`connection`] and [`process`].

pub mod connection;
pub mod process;
pub mod request;

pub use connection::{
    CallerClient,
    CallerFlow,
    ClientBuilder,
    ClientError,
    CloseReason, //
};
pub use process::{
    BrokenFlow,
    LatencySummary,
    LoadBuilder,
    LoadCanceller,
    LoadError,
    LoadReport,
    LoadRun,
    NamedCount,
    RequestMix, //
};
pub use request::{
    CallerError,
    CallerRequest, //
    CallerResponse,
};
