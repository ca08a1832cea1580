//! The clock that the daemons pass to the decision logic.

use std::time::{
    Instant,
    SystemTime,
    UNIX_EPOCH, //
};

use carobdrum_core::Millis;

/// Monotonic clock that counts from its own start; times of different clocks can't be compared.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts a clock at zero.
    pub fn start() -> ProcessClock {
        ProcessClock {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start of the clock.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub fn instant(&self, time: Millis) -> tokio::time::Instant {
        let span = std::time::Duration::from_millis(time.0);
        tokio::time::Instant::from_std(self.start + span)
    }
}

/// Returns the time since the Unix epoch in milliseconds, or 0 if the system clock is before the
/// epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |span| span.as_millis() as u64)
}
