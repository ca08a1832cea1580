//! A model of the platform around the decisions about flows: routers, callers, balancers, agents and
//! backend servers in seeded, simulated time, without sockets.
//!
//! A failure that a deployment shows is played here first. `examples/experiment.rs` plays a file.

mod event_queue;
mod experiment;
mod flow_model;
mod model_caller;
mod model_event;
mod model_server;
mod model_stats;

pub use event_queue::EventQueue;
pub use experiment::{
    Experiment,
    ExperimentError,
    FaultEntry,
    FaultKind, //
};
pub use flow_model::FlowModel;
pub use model_stats::{
    ModelStats,
    SecondStats, //
};
