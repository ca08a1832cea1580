//! Load of a backend server.

use carobdrum_core::Millis;

/// Work of a request before any was seen, in microseconds.
const FIRST_WORK_US: u32 = 20_000;

/// Share of a new sample in the average, as a divisor.
const SAMPLE_SHARE: u32 = 16;

/// Longest sample, in microseconds; a longer one says more about a fault than about work.
const MAX_SAMPLE_US: u32 = 500_000;

/// Requests in progress at a backend server, and the wait that a new one would have.
#[derive(Debug)]
pub struct LoadEstimate {
    busy: u32,
    slots: u32,
    work_us: u32,
}

impl LoadEstimate {
    /// Creates the estimate of an idle server.
    pub fn new(slots: u32) -> LoadEstimate {
        LoadEstimate {
            busy: 0,
            slots: slots.max(1),
            work_us: FIRST_WORK_US,
        }
    }

    /// Sets how many requests the server works on at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Counts a request that begins.
    pub fn begin(&mut self) {
        self.busy += 1;
    }

    /// Counts a request that was given up or whose outcome is unknown.
    pub fn end(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Counts a request that was answered after `time`.
    pub fn answer(&mut self, time: Millis) {
        let queued = self.busy > self.slots;
        self.end();
        if queued {
            return;
        }
        let sample = u32::try_from(time.0.saturating_mul(1_000)).unwrap_or(MAX_SAMPLE_US);
        let sample = sample.min(MAX_SAMPLE_US);
        let kept = self.work_us - self.work_us / SAMPLE_SHARE;
        self.work_us = kept + sample / SAMPLE_SHARE;
    }

    /// Returns the wait of a new request, in microseconds.
    pub fn wait_us(&self) -> u32 {
        let ahead = (self.busy + 1).saturating_sub(self.slots);
        (ahead * self.work_us) / self.slots
    }

    /// Returns the requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns how many requests the server works on at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}
