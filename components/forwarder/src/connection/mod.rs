//! Traffic threads, which receive packets and carry out the decisions of `carobdrum-flows` on them.

mod agent_reporter;
mod agent_traffic;
mod agent_update;
mod balancer_traffic;
mod flow_log;
mod handed_over;
mod header_codec;
mod hop_spans;
mod peer_revision;
mod query_codec;
mod report_codec;
mod udp_endpoint;

pub(crate) use agent_traffic::AgentTraffic;
pub(crate) use agent_update::{
    AgentUpdate,
    BackendOutcome, //
};
pub(crate) use balancer_traffic::{
    BalancerTraffic,
    BalancerUpdate, //
};
pub(crate) use handed_over::HandedOver;
pub use hop_spans::HopSpans;
pub use peer_revision::PeerRevision;
pub(crate) use peer_revision::{
    revision_and_era,
    PeerRevisions, //
};
pub use report_codec::{
    decode_report,
    encode_report, //
};
