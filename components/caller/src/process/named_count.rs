//! Counters by name.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Number of occurrences under a name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedCount {
    /// Label of an error, or name of a backend server.
    pub name: CompactString,
    /// Number of occurrences.
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

    /// Adds all entries of `other` to a list that is sorted by name.
    pub(crate) fn merge_into(list: &mut Vec<NamedCount>, other: &[NamedCount]) {
        for entry in other {
            NamedCount::add_to(list, &entry.name, entry.count);
        }
    }
}
