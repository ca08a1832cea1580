//! The version in force, with its index in the store.

use carobdrum_core::version::ConfigVersion;

/// The version in force, as read from the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The configuration version.
    pub version: ConfigVersion,
    /// Index of its last modification, to pass to a watch for the next version.
    pub index: u64,
}
