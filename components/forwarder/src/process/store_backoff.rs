//! Time limit of requests to the store, and the backoff between failed ones.

use std::time::Duration;

use carobdrum_platform::StoreError;
use rand::Rng;
use tracing::{
    info,
    warn, //
};

/// Time limit of a request to the store, except for the wait of a watch.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// First backoff after a failed request, before jitter.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest backoff of a process that can serve meanwhile. Entries must be written again within two seconds after the store has
/// become available.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Backoff between failed requests to the store. It logs the beginning and the end of an outage.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Ends the backoff after a successful request; returns whether an outage ends with it.
    pub(crate) fn record_success(&mut self, what: &str) -> bool {
        let is_recovery = self.failures > 0;
        if is_recovery {
            info!(what, failures = self.failures, "store available again");
        }
        self.failures = 0;
        is_recovery
    }

    /// Returns the delay before a failed request is retried: exponential up to `longest`, with
    /// jitter.
    pub(crate) fn record_failure(
        &mut self,
        what: &str,
        error: &StoreError,
        longest: Duration,
    ) -> Duration {
        if self.failures == 0 {
            warn!(what, %error, "store unavailable");
        }
        let pause = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        let pause = pause.min(longest);
        self.failures += 1;
        let jitter = rand::rng().random_range(0.5..1.0);
        pause.mul_f64(jitter)
    }
}
