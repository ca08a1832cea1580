//! The published configuration and key ring, and the encryption of key rings.

mod key_wrapper;
mod published_state;

pub use key_wrapper::{
    KeyWrapper,
    WrapError, //
};
pub use published_state::PublishedState;
