//! Time for the attempts of an agent to delete its registration.

use carobdrum_core::Millis;

/// Part of the grace period that is left for the exit of the process.
const EXIT_MARGIN: Millis = Millis(500);

/// Longest time of one attempt. A later one shows whether an attempt without a response took effect.
const ATTEMPT_TIMEOUT: Millis = Millis(500);

/// Time of the first attempt if the grace period leaves less.
const FIRST_ATTEMPT_TIMEOUT: Millis = Millis(300);

/// Decides how long an agent that shuts down after the end of its server tries to delete its
/// registration.
#[derive(Clone, Copy, Debug)]
pub struct Deregistration {
    /// Time at which the attempts end.
    deadline: Millis,
    attempts: u32,
}

impl Deregistration {
    /// Longest pause between two attempts.
    pub const MAX_PAUSE: Millis = Millis(500);

    /// Creates the state of an agent that got the termination signal at `signalled`, and that is killed
    /// after `grace`.
    pub fn new(signalled: Millis, grace: Millis) -> Deregistration {
        Deregistration {
            deadline: signalled.plus(grace.since(EXIT_MARGIN)),
            attempts: 0,
        }
    }

    /// Begins an attempt and returns its time limit; `None` if no time is left. There is always a first
    /// attempt.
    pub fn begin_attempt(&mut self, now: Millis) -> Option<Millis> {
        let left = self.deadline.since(now).min(ATTEMPT_TIMEOUT);
        let limit = if self.attempts == 0 {
            left.max(FIRST_ATTEMPT_TIMEOUT)
        } else {
            left
        };
        if limit == Millis(0) {
            return None;
        }
        self.attempts += 1;
        Some(limit)
    }

    /// Returns the pause before the next attempt: `backoff`, or what is left of the time.
    pub fn pause(&self, backoff: Millis, now: Millis) -> Millis {
        backoff.min(self.deadline.since(now))
    }

    /// Returns the number of attempts that have begun.
    pub fn attempts(&self) -> u32 {
        self.attempts
    }
}
