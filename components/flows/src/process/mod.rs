//! What lives for the whole process: the agents that a balancer knows, and its routing.

mod agent_record;
mod agent_report;
mod agent_roster;
mod backend_life;
mod candidate_ranks;
mod cold_budget;
mod flow_router;
mod name_hash;
mod owner_hints;
mod report_schedule;

pub use agent_record::AgentRecord;
pub use agent_report::AgentReport;
pub use agent_roster::AgentRoster;
pub use backend_life::{
    BackendHeartbeat,
    BackendLife,
    BackendState, //
};
pub use cold_budget::ColdBudget;
pub use flow_router::{
    DropCause,
    FlowRouter,
    RouteAction, //
};
pub use name_hash::name_hash;
pub use owner_hints::OwnerHints;
pub use report_schedule::ReportSchedule;
