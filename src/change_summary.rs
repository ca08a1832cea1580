//! Summary of the changes of an edit.

use carobdrum_store::TableChanges;
use compact_str::{
    format_compact,
    CompactString, //
};

/// Returns the names of the changed routes, pools and data centres, or `no changes`.
pub(crate) fn describe_changes(changes: &TableChanges) -> CompactString {
    let mut text = CompactString::default();
    let groups = [
        ("routes", &changes.routes),
        ("pools", &changes.pools),
        ("data centres", &changes.data_centres),
    ];
    for (kind, names) in groups {
        if !names.is_empty() {
            let start = if text.is_empty() { "" } else { "; " };
            text.push_str(&format_compact!("{start}{kind} {}", names.join(", ")));
        }
    }
    if text.is_empty() {
        text.push_str("no changes");
    }
    text
}
