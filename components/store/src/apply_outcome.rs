//! Outcome of an edit.

use carobdrum_core::version::ConfigVersion;

use crate::ConflictReport;

/// Outcome of an edit that the store decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit took effect as this version, exactly once.
    Applied(Box<ConfigVersion>),
    /// The edit didn't take effect, because another version than its base is in force.
    Refused(ConflictReport),
}
