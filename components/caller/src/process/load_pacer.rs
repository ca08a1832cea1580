//! Schedule of a load's requests.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use tokio::time::Instant;

use super::LoadCanceller;

/// Issues the times at which requests are due.
///
/// At a fixed rate, a request that is sent late keeps its due time, so that its latency includes
/// the time for which earlier requests delayed it.
pub(crate) struct LoadPacer {
    start: Instant,
    end: Instant,
    rate: Option<f64>,
    limit: u64,
    issued: AtomicU64,
    canceller: LoadCanceller,
}

impl LoadPacer {
    /// Starts the schedule of a run that ends after `duration` or `limit` requests.
    ///
    /// `rate` is in requests per second; without it, each request is due at once.
    pub(crate) fn new(
        duration: Duration,
        limit: u64,
        rate: Option<f64>,
        canceller: LoadCanceller,
    ) -> LoadPacer {
        let start = Instant::now();
        LoadPacer {
            start,
            end: start + duration,
            rate,
            limit,
            issued: AtomicU64::new(0),
            canceller,
        }
    }

    /// Returns the start of the run.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// Waits until the next request is due; returns its due time, or `None` at the end of the run.
    pub(crate) async fn next(&self) -> Option<Instant> {
        let number = self.issued.fetch_add(1, Ordering::Relaxed);
        if number >= self.limit || self.canceller.is_stopped() {
            return None;
        }
        let Some(rate) = self.rate else {
            let now = Instant::now();
            return (now < self.end).then_some(now);
        };
        let due = self.start + Duration::from_secs_f64(number as f64 / rate);
        if due >= self.end {
            return None;
        }
        tokio::select! {
            () = tokio::time::sleep_until(due) => Some(due),
            () = self.canceller.wait() => None,
        }
    }
}
