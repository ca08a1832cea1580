//! Rate limit for log lines.

use std::time::{
    Duration,
    Instant, //
};

const WINDOW: Duration = Duration::from_secs(1);

/// Admits a number of log lines per second and counts those that are suppressed.
#[derive(Debug)]
pub struct LogLimiter {
    per_second: u32,
    window_start: Instant,
    admitted: u32,
    suppressed: u64,
}

impl LogLimiter {
    /// Creates a limiter that admits `per_second` lines.
    pub fn new(per_second: u32) -> LogLimiter {
        LogLimiter {
            per_second,
            window_start: Instant::now(),
            admitted: 0,
            suppressed: 0,
        }
    }

    /// Returns the number of lines that were suppressed since the last admitted one, or `None` if
    /// no line may be written now.
    pub fn admit(&mut self) -> Option<u64> {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.admitted = 0;
        }
        if self.admitted >= self.per_second {
            self.suppressed += 1;
            return None;
        }
        self.admitted += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
