//! Simulation of the platform around the flow decisions of `carobdrum-flows`: routers, callers,
//! balancers, agents and backend servers in simulated time, with seeded random numbers and without
//! sockets.
//!
//! A failure seen in a deployment is first reproduced here. `examples/experiment.rs` runs an
//! experiment from a file.

mod event_queue;
mod experiment;
mod flow_model;
mod model_caller;
mod model_event;
mod model_server;
mod model_stats;
mod placement_plan;

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
pub use placement_plan::PlacementPlan;
