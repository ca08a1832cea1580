//! Outcome of applying an edit of the tables.

use carobdrum_core::version::ConfigVersion;

use crate::ConflictReport;

/// Outcome of an edit, once it is known whether the edit took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit took effect exactly once, as this version.
    Applied(Box<ConfigVersion>),
    /// The edit didn't take effect, because another version than its base is in force.
    Refused(ConflictReport),
}
