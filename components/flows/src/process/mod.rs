//! State with the lifetime of the process: a balancer's agents and routing, an agent's server.

mod agent_record;
mod agent_report;
mod agent_table;
mod backend_liveness;
mod candidate_ranking;
mod cold_budget;
mod flow_router;
mod name_hash;
mod owner_cache;
mod report_schedule;

pub use agent_record::AgentRecord;
pub use agent_report::AgentReport;
pub use agent_table::AgentTable;
pub use backend_liveness::{
    BackendHeartbeat,
    BackendLiveness,
    BackendState, //
};
pub use cold_budget::ColdBudget;
pub use flow_router::{
    DropCause,
    FlowRouter,
    RouteAction, //
};
pub use name_hash::name_hash;
pub use owner_cache::OwnerCache;
pub use report_schedule::ReportSchedule;
