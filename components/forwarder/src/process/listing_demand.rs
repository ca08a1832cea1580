//! When a watcher lists all keys on demand.

use carobdrum_core::Millis;

/// Shortest time from the start of one listing to that of the next one.
const MIN_INTERVAL: Millis = Millis(100);

/// Mean of this time while listings are wanted all the time.
const MEAN_INTERVAL: Millis = Millis(300);

/// Time by which a series of listings may be ahead of the mean. After the loss of all servers the callers
/// come back within a few seconds, and each listing that is awaited delays them.
const MAX_LEAD: Millis = Millis(4_000);

/// Time from the start of one listing to that of the next one while the last one left something open.
const SETTLE_INTERVAL: Millis = Millis(500);

/// Time after the last demand for which listings go on while something is open.
const SETTLE_TIME: Millis = Millis(4_000);

/// Decides when a watcher lists all keys because another thread needs a listing that was started at a
/// certain time or later.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingDemand {
    /// Time for which a listing is wanted.
    pub wanted: Option<Millis>,
    /// Whether the last listing left something open that only further ones can show.
    pub is_unsettled: bool,
    last_started: Option<Millis>,
    /// Time up to which the listings so far suffice at the mean interval.
    paid_until: Millis,
    confirmed: Option<Millis>,
}

impl ListingDemand {
    /// Records that a listing was started.
    pub fn note_started(&mut self, started: Millis) {
        self.last_started = Some(started);
        self.paid_until = self.paid_until.max(started).plus(MEAN_INTERVAL);
    }

    /// Records that a listing that was started at this time has succeeded.
    pub fn note_success(&mut self, started: Millis) {
        self.confirmed = Some(started);
    }

    /// Returns the time at which the next listing is due; `None` while none is wanted.
    pub fn next_listing(&self, now: Millis) -> Option<Millis> {
        let wanted = self.wanted?;
        let after_last = |interval| self.last_started.map_or(now, |last| last.plus(interval));
        if self.confirmed.is_none_or(|confirmed| confirmed < wanted) {
            let within_mean = self.paid_until.since(MAX_LEAD);
            return Some(after_last(MIN_INTERVAL).max(within_mean));
        }
        let settles = self.is_unsettled && now.since(wanted) < SETTLE_TIME;
        settles.then(|| after_last(SETTLE_INTERVAL))
    }
}
