//! Estimate of a backend server's load.

use carobdrum_core::Millis;

/// Assumed processing time of a request before any was measured, in microseconds.
const INITIAL_WORK_US: u32 = 20_000;

/// Divisor that gives the weight of a new sample in the moving average.
const SAMPLE_DIVISOR: u32 = 16;

/// Upper bound of a sample, in microseconds; a longer time indicates a fault rather than work.
const MAX_SAMPLE_US: u32 = 500_000;

/// Requests in progress at a backend server, and the expected queueing delay of a new one.
#[derive(Debug)]
pub struct LoadEstimate {
    busy: u32,
    slots: u32,
    work_us: u32,
}

impl LoadEstimate {
    /// Creates the estimate of an idle server that processes `slots` requests at once.
    pub fn new(slots: u32) -> LoadEstimate {
        LoadEstimate {
            busy: 0,
            slots: slots.max(1),
            work_us: INITIAL_WORK_US,
        }
    }

    /// Sets how many requests the server processes at once; zero counts as one.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Adds a request in progress.
    pub fn begin(&mut self) {
        self.busy += 1;
    }

    /// Removes a request that was abandoned or whose outcome is unknown.
    pub fn end(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// Removes a request whose response began after `time`.
    ///
    /// The time is a sample of the processing time unless other requests were queued, in which case
    /// it includes their delay.
    pub fn record_response(&mut self, time: Millis) {
        let queued = self.busy > self.slots;
        self.end();
        if queued {
            return;
        }
        let sample = u32::try_from(time.0.saturating_mul(1_000)).unwrap_or(MAX_SAMPLE_US);
        let sample = sample.min(MAX_SAMPLE_US);
        let kept = self.work_us - self.work_us / SAMPLE_DIVISOR;
        self.work_us = kept + sample / SAMPLE_DIVISOR;
    }

    /// Returns the expected queueing delay of a new request, in microseconds. `held` is the number of
    /// requests that the agent holds and that are sent to the server before it.
    pub fn wait_us(&self, held: u32) -> u32 {
        let before = self.busy.saturating_add(held);
        let ahead = before.saturating_add(1).saturating_sub(self.slots);
        ahead.saturating_mul(self.work_us) / self.slots
    }

    /// Returns the expected time from sending a request to the server until its response begins.
    pub fn response_time(&self) -> Millis {
        let time_us = self.wait_us(0).saturating_add(self.work_us);
        Millis(u64::from(time_us).div_ceil(1_000))
    }

    /// Returns the number of requests in progress, including those that are queued at the server.
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns how many requests the server processes at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }
}
