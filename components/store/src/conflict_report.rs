//! Report to the author of a refused edit.

use compact_str::CompactString;

use crate::TableChanges;

/// Reports to the author of a refused edit what changed since the version that the edit is based
/// on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConflictReport {
    /// Number of the version that the edit is based on.
    pub base: u32,
    /// Number of the version in force, 0 if there is none.
    pub in_force: u32,
    /// Author of the version in force.
    pub author: CompactString,
    /// Comment of the version in force.
    pub comment: CompactString,
    /// Time of the edit that made the version in force, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// Differences between the base and the version in force; `None` if the store no longer has the
    /// base.
    pub changes: Option<TableChanges>,
}
