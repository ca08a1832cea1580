//! Types whose lifetime is one connection (flow).

mod body_guard;
mod caller_client;
mod caller_flow;
mod close_reason;

pub use caller_client::{
    CallerClient,
    ClientBuilder,
    ClientError, //
};
pub use caller_flow::CallerFlow;
pub use close_reason::CloseReason;
