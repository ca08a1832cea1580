//! Control plane shared by both daemons.
//!
//! One control thread runs a [`ConfigActor`], which owns the version in force and the key ring,
//! and a [`serve_control`] task, which answers other processes. Whoever needs the state watches
//! [`PublishedState`].

mod connection;
mod process;
mod version;

pub use connection::{
    call_control,
    decode_peer,
    decode_records,
    encode_peer,
    encode_records,
    serve_control,
    CallError, //
};
pub use process::{
    spawn_config,
    spawn_store,
    unix_millis,
    wait_for_stop,
    ActionRunner,
    ConfigActor,
    ConfigArguments,
    ConfigMessage,
    ControlSender,
    EventReturn,
    ProcessClock,
    StoreDuty, //
};
pub use version::{
    KeyVault,
    PublishedState,
    VaultError, //
};
