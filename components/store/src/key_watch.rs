//! Result of a watch of a key.

use crate::KeyEntry;

/// What a watch of a key returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyWatch {
    /// Index to pass to the next watch.
    pub index: u64,
    /// The entry, if the key exists.
    pub entry: Option<KeyEntry>,
}
