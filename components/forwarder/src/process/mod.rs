//! The daemons and their control tasks, which run as long as the process.

mod absence_marker;
mod agent_events;
mod agent_node;
mod agent_settings;
mod backend_requests;
mod balancer_node;
mod boot_clock;
mod config_tasks;
mod config_tracker;
mod deregistration_task;
mod entry_writer;
mod evacuation_state;
mod flow_saving;
mod handed_over_task;
mod hedged_read;
mod held_metrics;
mod http_port;
mod lease_actor;
mod listing_demand;
mod listing_requests;
mod node_context;
pub(crate) mod node_error;
mod node_metrics;
mod registration_cleaner;
mod reload_cause;
mod resend_metrics;
mod saved_metrics;
mod server_silence;
mod settings_file;
mod site_state;
mod snapshot_codec;
mod snapshot_port;
mod store_backoff;
mod store_watch;
mod tick_history;

pub use absence_marker::{
    AbsenceMarker,
    MarkOutcome, //
};
pub use agent_node::run_agent;
pub use balancer_node::run_balancer;
pub(crate) use boot_clock::BootClock;
pub use config_tracker::ConfigTracker;
pub use listing_demand::ListingDemand;
pub use node_error::NodeError;
pub(crate) use node_metrics::NodeMetrics;
pub(crate) use resend_metrics::ResendMetrics;
pub use settings_file::SettingsFile;
pub use store_watch::{
    KeyEvent, //
    KeyWatcher,
    WatchProgress,
};
