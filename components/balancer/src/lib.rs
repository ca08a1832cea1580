//! The balancer daemon.
//!
//! Traffic threads forward datagrams between callers and agents. A control thread maintains the
//! member list, the version in force and the key ring, and publishes a [`ForwardPlan`] for the
//! traffic threads.

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
