//! Rotation of the key ring.

use std::time::Duration;

use carobdrum_store::StoreError;
use rand::Rng;
use tokio::time::{
    sleep,
    timeout, //
};
use tracing::info;

use super::{
    StoreTask,
    KEY_RING_KEY, //
};
use crate::unix_millis;

/// Age, before jitter, at which the key ring is rotated.
const ROTATION_INTERVAL: Duration = Duration::from_secs(24 * 60 * 60);
/// Delay of another attempt after the key ring couldn't be rotated.
const ROTATION_RETRY_DELAY: Duration = Duration::from_secs(60);

impl StoreTask {
    /// Rotates the key ring whenever it is old enough. If several entry points try at once,
    /// compare-and-swap lets one succeed.
    pub(super) async fn rotate_keys(mut self) {
        // The age of a ring of an earlier release isn't known; it counts from here.
        let start = unix_millis();
        loop {
            let interval = ROTATION_INTERVAL.mul_f64(self.random.random_range(1.0..1.1));
            let wait = match self.rotate_if_due(start, interval).await {
                Ok(wait) => wait,
                Err(error) => {
                    info!(%error, "cannot rotate the key ring");
                    ROTATION_RETRY_DELAY
                }
            };
            sleep(wait).await;
        }
    }

    /// Rotates the key ring if it is older than `interval`, and returns the time until the next attempt.
    async fn rotate_if_due(
        &mut self,
        start: u64,
        interval: Duration,
    ) -> Result<Duration, StoreError> {
        let Some(entry) = self.client.read_key(KEY_RING_KEY).await? else {
            return Ok(ROTATION_RETRY_DELAY);
        };
        let Ok(ring) = self.wrapper.unwrap(&entry.value) else {
            return Ok(ROTATION_RETRY_DELAY);
        };
        let created = ring.creation_ms().unwrap_or(start);
        let age = Duration::from_millis(unix_millis().saturating_sub(created));
        if age < interval {
            return Ok(interval - age);
        }
        let adopted = self
            .state
            .wait_for(|state| state.key_version() == ring.version());
        // The channel closes when the process stops.
        if !matches!(timeout(ROTATION_RETRY_DELAY, adopted).await, Ok(Ok(_))) {
            return Ok(ROTATION_RETRY_DELAY);
        }
        let rotated = self.wrapper.rotate(&ring, &mut self.random);
        let rotated = rotated.with_creation_ms(unix_millis());
        let wrapped = self.wrapper.wrap(&rotated, &mut self.random);
        if self
            .client
            .write_key_cas(KEY_RING_KEY, wrapped, entry.index)
            .await?
        {
            info!(version = rotated.version(), ?age, "key ring rotated");
        }
        Ok(interval)
    }
}
