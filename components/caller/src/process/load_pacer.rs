//! When requests are due.

use std::{
    sync::atomic::{
        AtomicU64,
        Ordering, //
    },
    time::Duration,
};

use tokio::time::Instant;

use super::LoadCanceller;

/// Deals out the times at which requests are due.
///
/// With a rate, a request that starts late keeps its due time, so that its latency includes the time
/// it waited for the requests before it.
pub(crate) struct LoadPacer {
    start: Instant,
    end: Instant,
    rate: Option<f64>,
    limit: u64,
    dealt: AtomicU64,
    stop: LoadCanceller,
}

impl LoadPacer {
    /// Starts a run of `duration` and at most `limit` requests.
    pub(crate) fn new(
        duration: Duration,
        limit: u64,
        rate: Option<f64>,
        stop: LoadCanceller,
    ) -> LoadPacer {
        let start = Instant::now();
        LoadPacer {
            start,
            end: start + duration,
            rate,
            limit,
            dealt: AtomicU64::new(0),
            stop,
        }
    }

    /// Returns the start of the run.
    pub(crate) fn start(&self) -> Instant {
        self.start
    }

    /// Waits until the next request is due; returns its due time, or `None` at the end of the run.
    pub(crate) async fn next(&self) -> Option<Instant> {
        let number = self.dealt.fetch_add(1, Ordering::Relaxed);
        if number >= self.limit || self.stop.is_stopped() {
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
            () = self.stop.wait() => None,
        }
    }
}
