//! Evacuations that the store doesn't show as they are.

use carobdrum_core::Millis;
use compact_str::CompactString;

/// State of a data centre that differs from that in the store, which has come back from an older copy. It holds until
/// the operator has had time to write again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProvisionalState {
    /// Name of the data centre.
    pub centre: CompactString,
    /// Whether it is evacuated.
    pub is_evacuated: bool,
    /// Time until which that holds.
    pub until: Millis,
}
