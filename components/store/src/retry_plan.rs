//! Delays between retries.

use std::time::Duration;

use rand::Rng;

/// Exponential backoff with jitter.
///
/// The jitter spreads the retries of processes that failed at the same moment, so that they don't
/// all reach the store at once when it is available again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetryPlan {
    first_delay: Duration,
    max_delay: Duration,
    limit: Option<u32>,
    failures: u32,
}

impl RetryPlan {
    /// Creates a plan whose delays double from `first_delay` up to `max_delay`, with any number of
    /// retries.
    pub fn new(first_delay: Duration, max_delay: Duration) -> RetryPlan {
        RetryPlan {
            first_delay,
            max_delay: max_delay.max(first_delay),
            limit: None,
            failures: 0,
        }
    }

    /// Limits the number of retries.
    pub fn with_max_retries(mut self, limit: u32) -> RetryPlan {
        self.limit = Some(limit);
        self
    }

    /// Returns the delay before the next retry, or `None` if no retry is left.
    ///
    /// The delay is random, between half of the plan's current delay and the whole of it.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Option<Duration> {
        if self.limit.is_some_and(|limit| self.failures >= limit) {
            return None;
        }
        let factor = 2u32.saturating_pow(self.failures);
        let step = self.first_delay.saturating_mul(factor).min(self.max_delay);
        self.failures = self.failures.saturating_add(1);
        Some(step.mul_f64(rng.random_range(0.5..=1.0)))
    }

    /// Starts again from the first delay; called after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns a random delay between zero and `span`, for the first request of a process.
    pub fn initial_delay(span: Duration, rng: &mut impl Rng) -> Duration {
        span.mul_f64(rng.random())
    }
}
