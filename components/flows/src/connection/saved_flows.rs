//! List of flows that outlives the processes of a VM.

use crate::{
    process::ServerRun,
    request::FlowKey, //
};

/// Largest number of flows in a list.
pub const MAX_SAVED_FLOWS: usize = 1_024;

/// An open flow, and how far its caller has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SavedFlow {
    /// The flow.
    pub key: FlowKey,
    /// Sequence number that the caller expects next.
    pub sequence: u32,
}

/// Long flows that one run of a backend server held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedFlows {
    /// The run that held them.
    pub run: ServerRun,
    /// Unix time of the list, in milliseconds.
    pub saved_unix_ms: u64,
    /// The flows, the most recently used first; at most [`MAX_SAVED_FLOWS`].
    pub flows: Vec<SavedFlow>,
}
