//! What became of the flows of a run.

use std::sync::{
    Mutex,
    MutexGuard,
    PoisonError, //
};

use compact_str::{
    CompactString,
    ToCompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use tokio::time::Instant;

use crate::{
    connection::CloseReason,
    process::NamedCount, //
};

/// Most broken flows that are listed one by one; further ones are only counted.
const LISTED_FLOWS: usize = 1_000;

/// A flow that ended although nobody asked for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenFlow {
    /// When it ended, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Why it ended.
    pub cause: CompactString,
    /// Backend server that gave the last answer on the flow; empty before the first answer.
    pub target: CompactString,
}

/// Counts of flows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowCounts {
    /// Flows that were opened.
    pub(crate) opened: u64,
    /// Flows that ended although nobody asked for it.
    pub(crate) broken: u64,
    /// The first broken flows.
    pub(crate) listed: Vec<BrokenFlow>,
    /// Failed attempts to open a flow, by cause.
    pub(crate) connects_failed: Vec<NamedCount>,
}

/// Collects what became of the flows of a run.
pub(crate) struct FlowLog {
    start: Instant,
    counts: Mutex<FlowCounts>,
}

impl FlowLog {
    /// Starts the log of a run.
    pub(crate) fn new(start: Instant) -> FlowLog {
        FlowLog {
            start,
            counts: Mutex::default(),
        }
    }

    /// Notes an opened flow.
    pub(crate) fn opened(&self) {
        self.lock().opened += 1;
    }

    /// Notes a failed attempt to open a flow.
    pub(crate) fn connect_failed(&self, label: &str) {
        NamedCount::add_to(&mut self.lock().connects_failed, label, 1);
    }

    /// Notes a broken flow.
    pub(crate) fn broken(&self, cause: &CloseReason, target: CompactString) {
        let at_ms = self.start.elapsed().as_millis();
        let mut counts = self.lock();
        counts.broken += 1;
        if counts.listed.len() < LISTED_FLOWS {
            counts.listed.push(BrokenFlow {
                at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
                cause: cause.to_compact_string(),
                target,
            });
        }
    }

    /// Returns the counts so far.
    pub(crate) fn counts(&self) -> FlowCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, FlowCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
