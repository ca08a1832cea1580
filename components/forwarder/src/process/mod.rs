//! What lives for the whole process: the daemons and their control tasks.

mod agent_node;
mod balancer_node;
mod boot_clock;
mod hedged_read;
mod http_port;
mod lease_actor;
pub(crate) mod node_error;
mod node_frame;
mod node_metrics;
mod rules_feed;
mod settings_file;
mod site_hub;
mod snapshot_codec;
mod snapshot_port;
mod store_watch;

pub use agent_node::run_agent;
pub use balancer_node::run_balancer;
pub(crate) use boot_clock::BootClock;
pub use node_error::NodeError;
pub(crate) use node_metrics::NodeMetrics;
pub use rules_feed::RulesFeed;
pub use settings_file::SettingsFile;
pub use store_watch::{
    KeyFollower,
    KeyNews, //
};
