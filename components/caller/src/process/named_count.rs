//! Counts by name.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// How often something was seen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedCount {
    /// What was seen.
    pub name: CompactString,
    /// How often.
    pub count: u64,
}

impl NamedCount {
    /// Adds `count` to the entry of `name` in a list that is sorted by name.
    pub(crate) fn add_to(list: &mut Vec<NamedCount>, name: &str, count: u64) {
        match list.binary_search_by(|entry| entry.name.as_str().cmp(name)) {
            Ok(index) => list[index].count += count,
            Err(index) => list.insert(
                index,
                NamedCount {
                    name: name.into(),
                    count,
                },
            ),
        }
    }

    /// Adds every entry of `other` to a list that is sorted by name.
    pub(crate) fn merge_into(list: &mut Vec<NamedCount>, other: &[NamedCount]) {
        for entry in other {
            NamedCount::add_to(list, &entry.name, entry.count);
        }
    }
}
