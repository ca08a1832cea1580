//! The version that the store holds.

use carobdrum_core::version::ConfigVersion;

/// The version in force, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredVersion {
    /// The version.
    pub version: ConfigVersion,
    /// Index of its last modification, for a watch that waits for the next version.
    pub index: u64,
}
