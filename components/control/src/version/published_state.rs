//! The state that the control thread publishes.

use std::sync::Arc;

use carobdrum_core::version::{
    ConfigVersion,
    KeyRing, //
};

/// Configuration and key ring in force, as watched by the other parts of a process.
#[derive(Clone, Default)]
pub struct PublishedState {
    /// The version in force; `None` until the first one is known.
    pub config: Option<Arc<ConfigVersion>>,
    /// The key ring in force; `None` until the first one is known.
    pub keys: Option<Arc<KeyRing>>,
}

impl PublishedState {
    /// Returns the number of the version in force, or 0 before the first.
    pub fn config_number(&self) -> u32 {
        self.config.as_ref().map_or(0, |config| config.number)
    }

    /// Returns the version of the key ring in force, or 0 before the first.
    pub fn key_version(&self) -> u32 {
        self.keys.as_ref().map_or(0, |keys| keys.version())
    }
}
