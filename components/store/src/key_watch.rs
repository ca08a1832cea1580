//! Result of watching a key.

use crate::KeyEntry;

/// Result of a watch of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyWatch {
    /// Index to pass to the next watch.
    pub index: u64,
    /// The key with its value; `None` if the key doesn't exist.
    pub entry: Option<KeyEntry>,
}
