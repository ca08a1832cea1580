//! The balancer daemon.
//!
//! Traffic threads forward datagrams between callers and agents; a control thread keeps the
//! members, the version in force and the keys, and publishes a [`ForwardPlan`] for them.

mod connection;
mod process;
mod version;

pub use connection::{
    DropReason,
    RouteDecision, //
};
#[doc(hidden)]
pub use process::forward_for_benchmark;
pub use process::{
    run,
    BalancerError,
    BalancerHandle, //
};
pub use version::{
    ForwardPlan,
    PlanBuilder,
    PlanTarget, //
};
