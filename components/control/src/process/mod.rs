//! What lives for the whole process.

mod action_runner;
mod config_actor;
mod control_sender;
mod process_clock;
mod stop_signal;
mod store_task;

pub use action_runner::{
    ActionRunner,
    EventReturn, //
};
pub use config_actor::{
    spawn_config,
    ConfigActor,
    ConfigArguments,
    ConfigMessage, //
};
pub use control_sender::ControlSender;
pub use process_clock::{
    unix_millis,
    ProcessClock, //
};
pub use stop_signal::wait_for_stop;
pub use store_task::{
    spawn_store,
    StoreDuty, //
};
