//! Process-wide tasks, actors and helpers of both daemons.

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
    EventSink, //
};
pub use actor_feed::{
    feed_events,
    feed_state,
    feed_ticks,
    DaemonEvent, //
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
    StoreRole,
    KEY_RING_KEY, //
};
