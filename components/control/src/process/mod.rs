//! What lives for the whole process.

mod action_runner;
mod actor_feed;
mod config_actor;
mod control_sender;
mod daemon_thread;
mod process_clock;
mod stop_signal;
mod store_task;

pub use action_runner::{
    ActionRunner,
    EventReturn, //
};
pub use actor_feed::{
    feed_news,
    feed_state,
    feed_ticks,
    NewsItem, //
};
pub use config_actor::{
    spawn_config,
    ConfigActor,
    ConfigArguments,
    ConfigMessage, //
};
pub use control_sender::ControlSender;
pub use daemon_thread::spawn_thread;
pub use process_clock::{
    unix_millis,
    ProcessClock, //
};
pub use stop_signal::wait_for_stop;
pub use store_task::{
    spawn_store,
    StoreDuty, //
};
