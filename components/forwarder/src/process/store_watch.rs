//! Following keys of the store.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_platform::{
    StoreChange,
    StoreClient,
    StoreError,
    StoreListing,
    WatchResponse, //
};
use rand::Rng;
use tokio::{
    sync::watch,
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use super::hedged_read::list_hedged;
use crate::connection::PeerRevision;

/// Longest wait of a watch; the connection's keep-alive finds a silent store sooner.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// First pause before a failed call is repeated.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// Longest pause of a process that can't serve before the call succeeds. It adds to an outage.
const MAX_URGENT_BACKOFF: Duration = Duration::from_millis(300);

/// Longest pause of all others. Entries must be back within two seconds of the store's return.
pub(crate) const MAX_BACKOFF: Duration = Duration::from_millis(1_200);

/// Pause after changes, so that a series of them costs few calls.
const BATCH_DELAY: Duration = Duration::from_millis(700);

/// Time for which the watch may lag behind other processes.
const LAG_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit of a call.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What a watch tells.
#[derive(Debug)]
pub enum KeyEvent {
    /// All keys, at the start and whenever changes may have been missed.
    All(StoreListing),
    /// Changes since the last news.
    Changes(Vec<StoreChange>),
}

/// Following the keys that begin alike.
#[derive(Debug)]
pub struct KeyWatcher {
    store: SocketAddrV4,
    client: StoreClient,
    prefix: &'static str,
    /// Highest revision that other processes have shown; a follower that has an older one for
    /// `LAG_TIMEOUT` reads anew.
    seen: watch::Receiver<PeerRevision>,
    revision: u64,
    /// Whether the process can't serve before the keys are read.
    urgent: bool,
}

impl KeyWatcher {
    /// Creates a follower; nothing is read yet.
    pub fn new(
        store: SocketAddrV4,
        prefix: &'static str,
        seen: watch::Receiver<PeerRevision>,
    ) -> KeyWatcher {
        KeyWatcher {
            store,
            client: StoreClient::new(store, CALL_TIMEOUT),
            prefix,
            seen,
            revision: 0,
            urgent: false,
        }
    }

    /// Sets that the process can't serve before the keys are read.
    pub fn urgent(mut self) -> KeyWatcher {
        self.urgent = true;
        self
    }

    /// Reads the keys and follows their changes, for as long as `take` returns the revision in
    /// force.
    pub async fn run(mut self, mut take: impl AsyncFnMut(KeyEvent) -> Option<u64>) {
        let mut after = None;
        let mut backoff = StoreBackoff::default();
        loop {
            match self.call(after).await {
                Ok((news, revision)) => {
                    backoff.record_success(self.prefix);
                    after = revision;
                    let Some(news) = news else {
                        continue;
                    };
                    self.urgent = false;
                    let changed = matches!(news, KeyEvent::Changes(_));
                    match take(news).await {
                        Some(revision) => self.revision = revision,
                        None => return,
                    }
                    if changed {
                        sleep(BATCH_DELAY).await;
                    }
                }
                Err(error) => {
                    // A watch that was cut may have missed changes, and one that goes on from an
                    // old revision may wait for the next change.
                    after = None;
                    let longest = if self.urgent {
                        MAX_URGENT_BACKOFF
                    } else {
                        MAX_BACKOFF
                    };
                    sleep(backoff.fail(self.prefix, &error, longest)).await;
                }
            }
        }
    }

    async fn list(&mut self) -> Result<StoreListing, StoreError> {
        if !self.urgent {
            return self.client.list(self.prefix).await;
        }
        let (client, listing) = list_hedged(self.store, self.prefix).await?;
        self.client = client;
        Ok(listing)
    }

    /// Makes one call; returns what it told, and the revision from which the next one goes on.
    async fn call(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Option<KeyEvent>, Option<u64>), StoreError> {
        let Some(after) = after else {
            let listing = self.list().await?;
            let revision = listing.revision;
            return Ok((Some(KeyEvent::All(listing)), Some(revision)));
        };
        let watch = self.client.watch(self.prefix, after, WATCH_WAIT);
        let news = tokio::select! {
            news = watch => news?,
            seen = wait_until_behind(&mut self.seen, self.revision) => {
                let revision = self.revision;
                info!(prefix = self.prefix, seen, revision, "another process has a newer revision");
                return Ok((None, None));
            }
        };
        match news {
            WatchResponse::Changes(changes, revision) => {
                let news = (!changes.is_empty()).then_some(KeyEvent::Changes(changes));
                Ok((news, Some(revision.max(after))))
            }
            WatchResponse::Compacted => {
                info!(
                    prefix = self.prefix,
                    after, "store has forgotten its history; reading anew"
                );
                Ok((None, None))
            }
        }
    }
}

/// Waits until a revision newer than `revision` has been seen for `LAG_TIMEOUT`; returns it.
async fn wait_until_behind(seen: &mut watch::Receiver<PeerRevision>, revision: u64) -> u64 {
    let newer = seen
        .wait_for(|seen| seen.revision > revision)
        .await
        .map(|seen| seen.revision);
    let Ok(newer) = newer else {
        // The traffic thread is gone; the process is about to end.
        return std::future::pending().await;
    };
    sleep(LAG_TIMEOUT).await;
    newer
}

/// Pauses between failed calls, and the log of an outage's begin and end.
#[derive(Debug, Default)]
pub(crate) struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Notes a call that succeeded.
    pub(crate) fn record_success(&mut self, what: &str) {
        if self.failures > 0 {
            info!(what, failures = self.failures, "store regained");
        }
        self.failures = 0;
    }

    /// Notes a call that failed; returns the pause before it is repeated.
    pub(crate) fn fail(&mut self, what: &str, error: &StoreError, longest: Duration) -> Duration {
        if self.failures == 0 {
            warn!(what, %error, "store lost");
        }
        let pause = INITIAL_BACKOFF * 2u32.pow(self.failures.min(8));
        let pause = pause.min(longest);
        self.failures += 1;
        let jitter = rand::rng().random_range(0.5..1.0);
        pause.mul_f64(jitter)
    }
}
