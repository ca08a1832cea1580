//! Differences between the tables of two versions.

use carobdrum_core::version::ConfigVersion;
use compact_str::CompactString;

/// Names of what differs between two versions: added, removed or changed; sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Names of routes.
    pub routes: Vec<CompactString>,
    /// Services of pools.
    pub pools: Vec<CompactString>,
    /// Names of data centres.
    pub data_centres: Vec<CompactString>,
}

impl TableChanges {
    /// Compares two versions.
    pub fn between(older: &ConfigVersion, newer: &ConfigVersion) -> TableChanges {
        let (old, new) = (&older.pools, &newer.pools);
        TableChanges {
            routes: changed(&older.routes.routes, &newer.routes.routes, |route| {
                &route.name
            }),
            pools: changed(&old.pools, &new.pools, |pool| &pool.service),
            data_centres: changed(&old.data_centres, &new.data_centres, |centre| &centre.name),
        }
    }

    /// Returns whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.pools.is_empty() && self.data_centres.is_empty()
    }
}

/// Returns the names of the rows that only one side has, or that differ.
fn changed<T: PartialEq>(
    older: &[T],
    newer: &[T],
    name_of: impl Fn(&T) -> &CompactString,
) -> Vec<CompactString> {
    let only_in = |left: &[T], right: &[T]| -> Vec<CompactString> {
        let rows = left.iter().filter(|row| !right.contains(row));
        rows.map(|row| name_of(row).clone()).collect()
    };
    let mut names = only_in(older, newer);
    names.extend(only_in(newer, older));
    names.sort_unstable();
    names.dedup();
    names
}
