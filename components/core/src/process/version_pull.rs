//! When to fetch a newer version, and from whom.

use std::net::SocketAddrV4;

use rand::{
    rngs::SmallRng,
    Rng, //
};

use crate::Millis;

/// How long a fetch may take before another source is tried.
const FETCH_TIMEOUT: Millis = Millis(1_000);

/// First and longest wait after a failed fetch.
const MIN_BACKOFF: u64 = 100;
const MAX_BACKOFF: u64 = 5_000;

/// Sources remembered for retries.
const MAX_SOURCES: usize = 4;

/// Follows the newest number seen and fetches what the process lacks.
#[derive(Clone, Debug, Default)]
pub struct VersionPull {
    held: u32,
    seen: u32,
    sources: Vec<SocketAddrV4>,
    failures: u32,
    fetching: bool,
    next: Millis,
}

impl VersionPull {
    /// Returns the number in force.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Returns whether a newer version is known to exist.
    pub fn is_behind(&self) -> bool {
        self.seen > self.held
    }

    /// Records that `source` has `number`, and returns a source to fetch from now.
    pub fn saw(&mut self, now: Millis, number: u32, source: SocketAddrV4) -> Option<SocketAddrV4> {
        if number <= self.held {
            return None;
        }
        let newer = number > self.seen;
        if newer {
            self.seen = number;
            self.sources.clear();
        }
        if number == self.seen && !self.sources.contains(&source) {
            self.sources.truncate(MAX_SOURCES - 1);
            self.sources.insert(0, source);
        }
        if newer && self.failures == 0 {
            self.next = now;
        }
        self.due(now)
    }

    /// Returns a source to fetch from now, if a fetch is due.
    pub fn due(&mut self, now: Millis) -> Option<SocketAddrV4> {
        if !self.is_behind() || now < self.next || self.sources.is_empty() {
            return None;
        }
        if self.fetching {
            self.failures += 1;
        }
        self.fetching = true;
        self.next = now.plus(FETCH_TIMEOUT);
        let turn = self.failures as usize % self.sources.len();
        Some(self.sources[turn])
    }

    /// Records that a fetch failed; the next follows after a growing, random wait.
    pub fn failed(&mut self, now: Millis, rng: &mut SmallRng) {
        let longest = (MIN_BACKOFF << self.failures.min(6)).min(MAX_BACKOFF);
        let wait = rng.random_range(longest / 2..=longest);
        self.failures += 1;
        self.fetching = false;
        self.next = now.plus(Millis(wait));
    }

    /// Records the number now in force.
    pub fn adopted(&mut self, number: u32) {
        self.held = self.held.max(number);
        self.failures = 0;
        self.fetching = false;
        self.next = Millis(0);
        if !self.is_behind() {
            self.sources.clear();
        }
    }
}
