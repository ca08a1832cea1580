//! Result of a watch of the version in force.

use carobdrum_core::version::ConfigVersion;

/// What a watch of the version in force returned.
///
/// A watch that ended without a change returns the index that it was given. The index can also be
/// lower, when the store was restored; it is then the one to go on with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionWatch {
    /// Index to pass to the next watch.
    pub index: u64,
    /// The version in force, if there is one.
    pub version: Option<ConfigVersion>,
}
