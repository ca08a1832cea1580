//! Spacing of retries.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with jitter.
///
/// The jitter spreads the retries of processes that failed at the same moment, so that a store that
/// comes back isn't met by all of them at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryPlan {
    first: Duration,
    longest: Duration,
    limit: Option<u32>,
    failures: u32,
}

impl RetryPlan {
    /// Creates a plan whose delays double from `first` up to `longest`, without end.
    pub fn new(first: Duration, longest: Duration) -> RetryPlan {
        RetryPlan {
            first,
            longest: longest.max(first),
            limit: None,
            failures: 0,
        }
    }

    /// Ends the plan after `limit` retries.
    pub fn limited_to(mut self, limit: u32) -> RetryPlan {
        self.limit = Some(limit);
        self
    }

    /// Returns the delay before the next retry, or `None` when no retry is left.
    ///
    /// The delay lies between half of the step and the whole of it.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Option<Duration> {
        if self.limit.is_some_and(|limit| self.failures >= limit) {
            return None;
        }
        let factor = 2u32.saturating_pow(self.failures);
        let step = self.first.saturating_mul(factor).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        Some(step.mul_f64(rng.random_range(0.5..=1.0)))
    }

    /// Starts again from the first delay, after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns a delay between zero and `span`, for the first call of a process.
    pub fn initial_delay(span: Duration, rng: &mut impl Rng) -> Duration {
        span.mul_f64(rng.random())
    }
}
