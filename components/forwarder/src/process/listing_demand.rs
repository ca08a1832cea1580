//! When a watcher lists all keys on demand.

use carobdrum_core::Millis;

/// Shortest time from the start of one listing to that of the next one on demand. One listing serves all
/// searches that began before it.
const MIN_LISTING_INTERVAL: Millis = Millis(100);

/// Longest such time, and the interval of a series that has to show an entry as missing.
const MAX_LISTING_INTERVAL: Millis = Millis(500);

/// Part of the interval for each listed agent, in milliseconds. The size of a listing grows with the fleet,
/// and so does the number of balancers that list.
const INTERVAL_PER_AGENT_MS: u64 = 2;

/// Time after the last demand for which listings go on while entries are missing.
const DEMAND_TIMEOUT: Millis = Millis(4_000);

/// Decides when a watcher lists all keys because another thread needs a listing that was started at a
/// certain time or later.
#[derive(Clone, Copy, Debug, Default)]
pub struct ListingDemand {
    /// Time for which a listing is wanted.
    pub wanted: Option<Millis>,
    /// Whether the last listing lacked entries of registered agents, so that only further ones show whether
    /// the agents are gone.
    pub has_missing_entries: bool,
    /// Number of agents that the last listing showed.
    pub agents: usize,
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
        let is_unmet = self.confirmed.is_none_or(|confirmed| confirmed < wanted);
        let goes_on = self.has_missing_entries && now.since(wanted) < DEMAND_TIMEOUT;
        let interval = if is_unmet {
            self.interval()
        } else {
            MAX_LISTING_INTERVAL
        };
        let next = |last: Millis| last.plus(interval);
        (is_unmet || goes_on).then(|| self.last_started.map_or(now, next))
    }

    /// Returns the shortest time between listings for searches that began after the last one.
    fn interval(&self) -> Millis {
        let by_agents = INTERVAL_PER_AGENT_MS.saturating_mul(self.agents as u64);
        Millis(by_agents).clamp(MIN_LISTING_INTERVAL, MAX_LISTING_INTERVAL)
    }
}
