//! HTTP/3 client and load generator that verifies every response.
//!
//! [`CallerClient`] opens flows to a service and [`CallerFlow`] sends requests on them; a response
//! is returned only when it is complete. [`LoadRun`] keeps flows open, sends a bounded load and
//! compares every response with the expected one. Modules are grouped by the lifetime of their
//! state: [`request`], [`connection`] and [`process`].

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
    LoadProgress,
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
