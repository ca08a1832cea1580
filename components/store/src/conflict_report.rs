//! Why an edit was refused.

use compact_str::CompactString;

use crate::TableChanges;

/// Tells the author of a refused edit what happened since the version that the edit is based on.
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
    /// Time of the version in force, in milliseconds since the Unix epoch.
    pub edited_ms: u64,
    /// What differs between the base and the version in force; `None` if the store doesn't have
    /// the base.
    pub changes: Option<TableChanges>,
}
