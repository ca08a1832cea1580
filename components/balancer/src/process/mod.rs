//! Threads, actors and metrics of the process.

mod agent_listing;
mod balancer_error;
mod balancer_handle;
mod balancer_metrics;
mod control_thread;
mod member_actor;
mod traffic_state;
mod traffic_thread;

pub use balancer_error::BalancerError;
pub use balancer_handle::{
    run,
    BalancerHandle, //
};
pub(crate) use balancer_metrics::BalancerMetrics;
pub use traffic_thread::forward_for_benchmark;
