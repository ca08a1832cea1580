//! Count of the requests in flight.

use std::time::Duration;

use tokio::time::Instant;

/// Number of requests in flight, with its maximum and its integral over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadMeter {
    in_flight: u32,
    max_in_flight: u32,
    integral: Duration,
    last_change: Instant,
}

impl LoadMeter {
    pub(crate) fn new(now: Instant) -> LoadMeter {
        LoadMeter {
            in_flight: 0,
            max_in_flight: 0,
            integral: Duration::ZERO,
            last_change: now,
        }
    }

    /// Counts a request that starts and returns the number in flight, including it.
    pub(crate) fn enter(&mut self, now: Instant) -> u32 {
        self.advance(now);
        self.in_flight += 1;
        self.max_in_flight = self.max_in_flight.max(self.in_flight);
        self.in_flight
    }

    /// Counts a request that ends.
    pub(crate) fn leave(&mut self, now: Instant) {
        self.advance(now);
        self.in_flight -= 1;
    }

    /// Resets the maximum to the current number and the integral to zero.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.advance(now);
        self.max_in_flight = self.in_flight;
        self.integral = Duration::ZERO;
    }

    /// Adds the time since the last change to the integral.
    pub(crate) fn advance(&mut self, now: Instant) {
        self.integral += now.saturating_duration_since(self.last_change) * self.in_flight;
        self.last_change = now;
    }

    pub(crate) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(crate) fn max_in_flight(&self) -> u32 {
        self.max_in_flight
    }

    pub(crate) fn integral(&self) -> Duration {
        self.integral
    }
}
