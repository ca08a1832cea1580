//! What lives for one connection or flow.

mod body_guard;
mod caller_client;
mod caller_flow;
mod lost_cause;

pub use caller_client::{
    CallerClient,
    ClientBuilder,
    ClientError, //
};
pub use caller_flow::CallerFlow;
pub use lost_cause::LostCause;
