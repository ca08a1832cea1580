//! Control plane shared by both daemons.
//!
//! One control thread runs a [`ConfigActor`], which owns the version in force and the key ring, and
//! a [`serve_control`] task, which answers other processes. Other parts of the process watch
//! [`PublishedState`].

mod connection;
mod process;
mod version;

pub use connection::{
    ask_actor,
    call_control,
    call_control_within,
    decode_peer,
    decode_records,
    encode_peer,
    encode_records,
    serve_control,
    CallError, //
};
pub use process::{
    feed_events,
    feed_state,
    feed_ticks,
    spawn_config,
    spawn_store,
    spawn_thread,
    unix_millis,
    wait_for_stop,
    ActionRunner,
    ConfigActor,
    ConfigArguments,
    ConfigMessage,
    ControlSender,
    DaemonEvent,
    EventSink,
    ProcessClock,
    StoreRole,
    KEY_RING_KEY, //
};
pub use version::{
    KeyWrapper,
    PublishedState,
    WrapError, //
};
