//! State with the lifetime of the process: a balancer's agents and routing, an agent's server.

mod agent_record;
mod agent_report;
mod agent_table;
mod backend_heartbeat;
mod backend_liveness;
mod candidate;
mod candidate_group;
mod candidate_limits;
mod candidate_list;
mod candidate_ranking;
mod cold_budget;
mod deregistration;
mod drop_cause;
mod ended_registrations;
mod first_places;
mod flow_coverage;
mod flow_router;
mod handed_deletions;
mod heartbeat_outcome;
mod held_counts;
mod lost_flow_search;
mod member_update;
mod name_hash;
mod owner_cache;
mod owner_lookup;
mod placement_state;
mod query_budget;
mod query_reply;
mod recent_openings;
mod registered_members;
mod registration_cleanup;
mod report_schedule;
mod route_action;
mod router_options;
mod search_action;
mod server_run;
mod server_weight;
mod service_load;
mod service_speed;
mod spilled_flow;
mod weight_change;
mod weighted_cost;

pub use agent_record::AgentRecord;
pub use agent_report::AgentReport;
pub use agent_table::AgentTable;
pub use backend_heartbeat::{
    BackendHeartbeat,
    BackendState, //
};
pub use backend_liveness::BackendLiveness;
pub use cold_budget::ColdBudget;
pub use deregistration::Deregistration;
pub use drop_cause::DropCause;
pub use flow_coverage::FlowCoverage;
pub use flow_router::FlowRouter;
pub use handed_deletions::HandedDeletions;
pub use heartbeat_outcome::HeartbeatOutcome;
pub use held_counts::HeldCounts;
pub use lost_flow_search::LostFlowSearch;
pub use member_update::{
    MemberListing,
    MemberUpdate, //
};
pub use name_hash::name_hash;
pub use owner_cache::OwnerCache;
pub use owner_lookup::OwnerLookup;
pub use query_budget::QueryBudget;
pub use query_reply::QueryReply;
pub use registered_members::RegisteredMembers;
pub use registration_cleanup::RegistrationCleanup;
pub use report_schedule::ReportSchedule;
pub use route_action::RouteAction;
pub use router_options::RouterOptions;
pub use search_action::{
    SearchAction,
    SearchEnd, //
};
pub use server_run::ServerRun;
pub use spilled_flow::SpilledFlow;
pub use weight_change::WeightChange;
pub use weighted_cost::weighted_cost;

pub(crate) use server_weight::ServerWeight;
pub(crate) use service_speed::ServiceSpeed;
