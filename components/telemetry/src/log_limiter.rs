//! Bounds on the number of log lines.

use std::time::{
    Duration,
    Instant, //
};

const WINDOW: Duration = Duration::from_secs(1);

/// Admits a number of log lines per second and counts those that are left out.
#[derive(Debug)]
pub struct LogLimiter {
    per_second: u32,
    begins: Instant,
    used: u32,
    left_out: u64,
}

impl LogLimiter {
    /// Creates a budget of `per_second` lines.
    pub fn new(per_second: u32) -> LogLimiter {
        LogLimiter {
            per_second,
            begins: Instant::now(),
            used: 0,
            left_out: 0,
        }
    }

    /// Returns the lines that were left out since the last one, if another line may be written.
    pub fn admit(&mut self) -> Option<u64> {
        let now = Instant::now();
        if now.duration_since(self.begins) >= WINDOW {
            self.begins = now;
            self.used = 0;
        }
        if self.used >= self.per_second {
            self.left_out += 1;
            return None;
        }
        self.used += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}
