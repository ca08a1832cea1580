//! Scheduling of fetches of newer configuration versions or key rings from peers.

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    Rng, //
};

use crate::Millis;

/// Time after which an unfinished fetch counts as failed and another source is tried.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// Delay after the first failed fetch, and the upper limit as it doubles; in milliseconds.
const MIN_BACKOFF_MS: u64 = 100;
const MAX_BACKOFF_MS: u64 = 5_000;

/// Largest number of peers remembered as sources of the newest version.
const MAX_FETCH_SOURCES: usize = 4;

/// Tracks the newest version that peers have, and decides when to fetch it and from which peer.
#[derive(Clone, Debug, Default)]
pub struct FetchSchedule {
    current: u32,
    newest: u32,
    sources: Vec<SocketAddrV4>,
    failures: u32,
    fetching: bool,
    next_fetch: Millis,
}

impl FetchSchedule {
    /// Returns the number of the version in force; 0 before the first one.
    pub fn current(&self) -> u32 {
        self.current
    }

    /// Returns whether a peer has a version newer than the one in force.
    pub fn is_behind(&self) -> bool {
        self.newest > self.current
    }

    /// Records that `source` has the version `number`, and returns the peer to fetch from if a
    /// fetch is due.
    pub fn observe(
        &mut self,
        now: Millis,
        number: u32,
        source: SocketAddrV4,
    ) -> Option<SocketAddrV4> {
        if number <= self.current {
            return None;
        }
        let newer = number > self.newest;
        if newer {
            self.newest = number;
            self.sources.clear();
        }
        if number == self.newest && !self.sources.contains(&source) {
            self.sources.truncate(MAX_FETCH_SOURCES - 1);
            self.sources.insert(0, source);
        }
        if newer && self.failures == 0 {
            self.next_fetch = now;
        }
        self.next_source(now)
    }

    /// Returns the peer to fetch from if a fetch is due, and records the fetch as started.
    pub fn next_source(&mut self, now: Millis) -> Option<SocketAddrV4> {
        if !self.is_behind() || now < self.next_fetch || self.sources.is_empty() {
            return None;
        }
        if self.fetching {
            self.failures += 1;
        }
        self.fetching = true;
        self.next_fetch = now.plus(FETCH_TIMEOUT);
        let index = self.failures as usize % self.sources.len();
        Some(self.sources[index])
    }

    /// Records that a fetch failed. The next one is due after an exponential backoff with jitter.
    pub fn fetch_failed(&mut self, now: Millis, rng: &mut SmallRng) {
        let max_delay = (MIN_BACKOFF_MS << self.failures.min(6)).min(MAX_BACKOFF_MS);
        let delay = rng.random_range(max_delay / 2..=max_delay);
        self.failures += 1;
        self.fetching = false;
        self.next_fetch = now.plus(Millis(delay));
    }

    /// Records that the version `number` is in force.
    pub fn set_current(&mut self, number: u32) {
        self.current = self.current.max(number);
        self.failures = 0;
        self.fetching = false;
        self.next_fetch = Millis(0);
        if !self.is_behind() {
            self.sources.clear();
        }
    }
}
