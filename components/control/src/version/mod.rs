//! What lives for one version of the configuration or of the keys.

mod key_wrapper;
mod published_state;

pub use key_wrapper::{
    KeyWrapper,
    WrapError, //
};
pub use published_state::PublishedState;
