//! What lives for one version of the forwarding plan.

mod forward_plan;
mod plan_builder;

pub use forward_plan::{
    ForwardPlan,
    PlanTarget, //
};
pub use plan_builder::PlanBuilder;
