//! What lives for one version of the configuration or of the keys.

mod key_vault;
mod published_state;

pub use key_vault::{
    KeyVault,
    VaultError, //
};
pub use published_state::PublishedState;
