//! The forwarding plan and its builder.

mod forward_plan;
mod plan_builder;

pub use forward_plan::{
    ForwardPlan,
    PlanTarget, //
};
pub use plan_builder::PlanBuilder;
