//! Flow that goes to another data centre because its own has no free slot.

use crate::request::FlowKey;

/// Flow whose first candidates are in another data centre because all servers of its own are full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SpilledFlow {
    /// The flow.
    pub key: FlowKey,
    /// Number of usable servers in the flow's own data centre.
    pub near: usize,
    /// How many of them were full in their last two reports.
    pub full_twice: usize,
}
