//! Differences between the tables of two versions.

use carobdrum_core::version::ConfigVersion;
use compact_str::CompactString;

/// Names of the rows that were added, removed or changed between two versions, sorted.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableChanges {
    /// Names of the routes that differ.
    pub routes: Vec<CompactString>,
    /// Services whose pools differ.
    pub pools: Vec<CompactString>,
    /// Names of the data centres that differ.
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

/// Returns the names of the rows that only one version has, or that differ.
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
