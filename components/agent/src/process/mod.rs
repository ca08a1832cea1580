//! Threads, actors, metrics and errors of the process.

mod agent_error;
mod agent_handle;
mod agent_metrics;
mod agent_shared;
mod announce_actor;
mod control_thread;
mod flow_endpoint;
mod flow_server;
mod tls_files;
mod traffic_thread;

pub use agent_error::AgentError;
pub use agent_handle::{
    run,
    AgentHandle, //
};
pub(crate) use agent_metrics::{
    AgentMetrics,
    DropReason,
    HedgeEvent,
    RequestEnd,
    RunEnd, //
};
pub(crate) use agent_shared::AgentShared;
