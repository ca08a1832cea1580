//! Keys and values of versions in the store.

use carobdrum_core::version::ConfigVersion;
use compact_str::{
    format_compact,
    CompactString, //
};
use snafu::ResultExt;

use crate::{
    store_error::MalformedVersionSnafu,
    KeyEntry,
    StoreError, //
};

/// Key that holds the version in force.
pub(crate) const CURRENT_VERSION_KEY: &str = "tables/current";

/// Returns the key of a replaced version.
pub(crate) fn history_key(number: u32) -> CompactString {
    format_compact!("tables/history/{number}")
}

/// Parses the version in an entry.
///
/// # Errors
///
/// Returns [`StoreError::MalformedVersion`] if the value isn't a version.
pub(crate) fn parse_version(entry: &KeyEntry) -> Result<ConfigVersion, StoreError> {
    let parsed = serde_json::from_slice(&entry.value);
    let key = entry.key.as_str();
    parsed.context(MalformedVersionSnafu { key })
}
