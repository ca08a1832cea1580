//! When a watcher lists all keys on demand.

use carobdrum_core::Millis;

/// Shortest time from the start of one listing to that of the next one. One listing serves all searches that
/// began before it.
const MIN_INTERVAL: Millis = Millis(500);

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
    confirmed: Option<Millis>,
}

impl ListingDemand {
    /// Records that a listing was started.
    pub fn note_started(&mut self, started: Millis) {
        self.last_started = Some(started);
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
            return Some(after_last(MIN_INTERVAL));
        }
        let settles = self.is_unsettled && now.since(wanted) < SETTLE_TIME;
        settles.then(|| after_last(SETTLE_INTERVAL))
    }
}
