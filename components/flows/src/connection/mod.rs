//! What lives as long as a flow: the flows of a backend server, at the agent beside it.

mod failure_rate;
mod flow_entry;
mod flow_keeper;
mod keeper_action;
mod load_estimate;
mod return_pause;
mod wait_limit;

pub use failure_rate::FailureRate;
pub use flow_entry::{
    FlowEntry,
    FlowStage, //
};
pub use flow_keeper::{
    FlowKeeper,
    KeeperSettings, //
};
pub use keeper_action::{
    KeeperAction,
    PassCause, //
};
pub use load_estimate::LoadEstimate;
pub use return_pause::ReturnPause;
pub use wait_limit::wait_limit_us;
