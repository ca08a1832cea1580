//! Result of watching the version in force.

use carobdrum_core::version::ConfigVersion;

/// Result of a watch of the version in force.
///
/// A watch that ends without a change returns the index that it was given. The index is lower than
/// that if the store was restored; the next watch then uses the lower index.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionWatch {
    /// Index to pass to the next watch.
    pub index: u64,
    /// The version in force; `None` if there is none yet.
    pub version: Option<ConfigVersion>,
}
