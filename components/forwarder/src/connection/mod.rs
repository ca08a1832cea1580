//! The traffic threads: packets in, decisions, packets out.

mod agent_reporter;
mod agent_traffic;
mod balancer_traffic;
mod flow_log;
mod head_codec;
mod hop_spans;
mod revision_sight;
mod udp_port;

pub(crate) use agent_traffic::{
    AgentTraffic,
    AgentUpdate, //
};
pub(crate) use balancer_traffic::{
    BalancerTraffic,
    BalancerUpdate, //
};
pub use hop_spans::HopSpans;
pub use revision_sight::RevisionSight;
