//! The lease of an entry point.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_store::{
    KeyEntry,
    RetryPlan,
    SessionEnd,
    StoreError, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use rand::Rng;
use tokio::{
    sync::watch,
    time::{
        sleep,
        timeout, //
    },
};
use tracing::{
    debug,
    info, //
};

use super::{
    StoreTask,
    ENTRY_POINT_PREFIX,
    FIRST_RETRY_DELAY,
    MAX_RETRY_DELAY, //
};

/// Entry points of a data centre. Two, so that one remains when the other fails; not more, because
/// each holds a watch, which the store counts as a call.
const ENTRY_POINTS_PER_CENTRE: u32 = 2;
/// Time after which an entry point that isn't renewed becomes vacant.
const LEASE_TTL: Duration = Duration::from_secs(15);
/// Interval between renewals of the lease: three attempts within [`LEASE_TTL`].
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval, before jitter, between a balancer's checks for a vacant entry point. With 530
/// balancers this makes 18 reads per second.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_secs(30);
/// The same interval while the balancer knows no other balancer. The entry points that it has read
/// may be those of balancers that no longer run.
const ISOLATED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl StoreTask {
    /// Becomes an entry point whenever one is vacant in this data centre, until the shutdown.
    pub(super) async fn hold_entry_point(
        mut self,
        entry_points: watch::Sender<Vec<SocketAddrV4>>,
        isolated: watch::Receiver<bool>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let mut plan = RetryPlan::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        while !*stopped.borrow() {
            let wait = match self
                .try_become_entry_point(&entry_points, &mut stopped)
                .await
            {
                Ok(()) => {
                    plan.reset();
                    self.record_success();
                    let interval = if *isolated.borrow() {
                        ISOLATED_CHECK_INTERVAL
                    } else {
                        VACANCY_CHECK_INTERVAL
                    };
                    interval.mul_f64(self.random.random_range(0.5..1.5))
                }
                Err(error) => self.record_failure(&mut plan, &error),
            };
            let _ = timeout(wait, stopped.wait_for(|stop| *stop)).await;
        }
    }

    /// Takes a vacant entry point, if there is one, and holds it until its lease is lost or the
    /// shutdown starts.
    async fn try_become_entry_point(
        &mut self,
        entry_points: &watch::Sender<Vec<SocketAddrV4>>,
        stopped: &mut watch::Receiver<bool>,
    ) -> Result<(), StoreError> {
        let prefix = format_compact!("{ENTRY_POINT_PREFIX}{}/", self.process.data_centre);
        let found = self.read_entry_points(entry_points).await?;
        let is_held = |entry: &&KeyEntry| entry.session.is_some() && entry.key.contains(&*prefix);
        let held = found.iter().filter(is_held).count();
        if held >= ENTRY_POINTS_PER_CENTRE as usize {
            return Ok(());
        }
        let session = self
            .client
            .create_session(LEASE_TTL, SessionEnd::Delete)
            .await?;
        for number in 0..ENTRY_POINTS_PER_CENTRE {
            let key = format_compact!("{prefix}{number}");
            let value = self.process.address.to_string();
            if self.client.acquire_key(&key, value, &session).await? {
                info!(%key, "became an entry point");
                self.read_entry_points(entry_points).await?;
                tokio::select! {
                    ended = self.serve_entry_point(&session) => return ended,
                    _ = stopped.wait_for(|stop| *stop) => {}
                }
                break;
            }
        }
        self.client.destroy_session(&session).await
    }

    /// Renews the lease, watches the version and the key ring, and rotates the key ring. Fencing
    /// isn't needed: a holder that hasn't noticed the loss of its lease only reads and publishes
    /// the same data once more, and writes the key ring by compare-and-swap.
    async fn serve_entry_point(&mut self, session: &CompactString) -> Result<(), StoreError> {
        let renewal = self.clone().renew(session.clone());
        let versions = self.clone().watch_versions();
        let keys = self.clone().watch_keys();
        let rotation = self.clone().rotate_keys();
        tokio::select! {
            ended = renewal => ended,
            () = versions => Ok(()),
            () = keys => Ok(()),
            () = rotation => Ok(()),
        }
    }

    async fn renew(self, session: CompactString) -> Result<(), StoreError> {
        let mut failures = 0;
        loop {
            sleep(RENEWAL_INTERVAL).await;
            match self.client.renew_session(&session).await {
                Ok(true) => failures = 0,
                Ok(false) => {
                    info!("entry point lost: its lease has expired");
                    return Ok(());
                }
                // During an outage the store can't give the entry point to another balancer, so it
                // is kept.
                Err(error) => {
                    failures += 1;
                    debug!(%error, failures, "cannot renew the lease of the entry point");
                }
            }
        }
    }
}
