//! Control connections: calls, their server, and the conversion of messages.

mod control_call;
mod control_server;
mod peer_codec;

pub use control_call::{
    call_control,
    call_control_within,
    CallError, //
};
pub use control_server::{
    ask_actor,
    serve_control, //
};
pub use peer_codec::{
    decode_peer,
    decode_records,
    encode_peer,
    encode_records, //
};
