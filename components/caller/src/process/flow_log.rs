//! Counts of opened and broken flows of a load run.

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

/// Most broken flows that are listed individually; further ones are only counted.
const MAX_LISTED_FLOWS: usize = 1_000;

/// A flow that ended unexpectedly: it was lost, or the server closed it with an error or while a
/// request was in progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BrokenFlow {
    /// When it ended, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Why it ended, as text.
    pub cause: CompactString,
    /// Backend server of the latest response on the flow, or the one that owned it if there was none;
    /// empty if neither is known.
    pub target: CompactString,
}

/// Counts of opened and broken flows.
#[derive(Clone, Debug, Default)]
pub(crate) struct FlowCounts {
    /// Flows that were opened.
    pub(crate) opened: u64,
    /// Flows that ended unexpectedly.
    pub(crate) broken: u64,
    /// The first broken flows, at most [`MAX_LISTED_FLOWS`].
    pub(crate) listed: Vec<BrokenFlow>,
    /// Failed attempts to open a flow, by cause.
    pub(crate) connects_failed: Vec<NamedCount>,
}

/// Collects the counts of a run's flows from all slots.
pub(crate) struct FlowLog {
    start: Instant,
    counts: Mutex<FlowCounts>,
}

impl FlowLog {
    /// Creates the log of a run that began at `start`.
    pub(crate) fn new(start: Instant) -> FlowLog {
        FlowLog {
            start,
            counts: Mutex::default(),
        }
    }

    /// Counts an opened flow.
    pub(crate) fn record_open(&self) {
        self.lock().opened += 1;
    }

    /// Counts a failed attempt to open a flow under the label of its error.
    pub(crate) fn record_connect_failure(&self, label: &str) {
        NamedCount::add_to(&mut self.lock().connects_failed, label, 1);
    }

    /// Counts a broken flow and lists it if there is room.
    pub(crate) fn record_break(&self, cause: &CloseReason, target: CompactString) {
        let at_ms = self.start.elapsed().as_millis();
        let mut counts = self.lock();
        counts.broken += 1;
        if counts.listed.len() < MAX_LISTED_FLOWS {
            counts.listed.push(BrokenFlow {
                at_ms: u64::try_from(at_ms).unwrap_or(u64::MAX),
                cause: cause.to_compact_string(),
                target,
            });
        }
    }

    /// Returns a copy of the counts.
    pub(crate) fn counts(&self) -> FlowCounts {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, FlowCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
