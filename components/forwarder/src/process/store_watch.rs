//! Watch of keys in the store.

use std::{
    net::SocketAddrV4,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_platform::{
    StoreChange,
    StoreClient,
    StoreError,
    StoreListing,
    WatchResponse, //
};
use tokio::{
    sync::watch,
    time::{
        sleep,
        sleep_until,
        Instant, //
    },
};
use tracing::{
    debug,
    info, //
};

use super::{
    boot_clock::BootClock,
    hedged_read::list_hedged,
    listing_requests::ListingRequests,
    store_backoff::{
        StoreBackoff,
        CALL_TIMEOUT,
        MAX_BACKOFF, //
    },
};
use crate::connection::PeerRevision;

/// Time for which a watch waits for changes. The keep-alive of the connection detects an
/// unresponsive store sooner. The store allows no longer wait.
const WATCH_WAIT: Duration = Duration::from_secs(30);

/// Longest backoff of a process that can't serve before a request succeeds. It is short because it
/// prolongs the outage for callers.
const MAX_URGENT_BACKOFF: Duration = Duration::from_millis(300);

/// Shortest delay after changes, so that a series of them takes few requests.
const MIN_BATCH_DELAY: Duration = Duration::from_millis(700);

/// Longest delay after changes.
const MAX_BATCH_DELAY: Duration = Duration::from_secs(4);

/// Part of the delay after changes of the agents, for each known agent. While agents are replaced
/// one after the other, the share of those that aren't known yet then doesn't depend on the fleet's
/// size.
const BATCH_DELAY_PER_AGENT: Duration = Duration::from_millis(15);

/// Time for which a watch may lag behind other processes.
const LAG_TIMEOUT: Duration = Duration::from_millis(300);

/// Event of a [`KeyWatcher`].
#[derive(Debug)]
pub enum KeyEvent {
    /// All keys: at the start, whenever changes may have been missed, and on demand. The time is that
    /// before the first request of the listing was sent.
    All(StoreListing, Millis),
    /// Changes since the last event.
    Changes(Vec<StoreChange>),
    /// A request has failed; only for a watcher that lists on demand.
    Failed,
}

/// What a [`KeyWatcher`] has to know after an event.
#[derive(Clone, Copy, Debug)]
pub struct WatchProgress {
    /// Revision in force.
    pub revision: u64,
    /// Delay before the next watch if the event was a change.
    pub batch_delay: Duration,
    /// Whether the event left something open that only further listings can show. They follow while
    /// listings are in demand.
    pub has_missing_entries: bool,
    /// Number of agents that a listing shows, on which the interval of listings on demand depends.
    pub listed_agents: usize,
}

impl WatchProgress {
    /// Returns the progress of a watcher of the configuration.
    pub fn of_config(revision: u64) -> WatchProgress {
        WatchProgress {
            revision,
            batch_delay: MIN_BATCH_DELAY,
            has_missing_entries: false,
            listed_agents: 0,
        }
    }

    /// Returns the progress of a watcher of `agents` agents, whose entries have no common revision.
    pub fn of_agents(agents: usize) -> WatchProgress {
        let count = u32::try_from(agents).unwrap_or(u32::MAX);
        let delay = BATCH_DELAY_PER_AGENT.saturating_mul(count);
        WatchProgress {
            revision: 0,
            batch_delay: delay.clamp(MIN_BATCH_DELAY, MAX_BATCH_DELAY),
            has_missing_entries: false,
            listed_agents: agents,
        }
    }
}

/// Watches the keys of the store that have a common prefix.
#[derive(Debug)]
pub struct KeyWatcher {
    store: SocketAddrV4,
    client: StoreClient,
    prefix: &'static str,
    /// Highest revision of another process; a watcher that has had an older one for `LAG_TIMEOUT`
    /// reads all keys again.
    peer_revisions: watch::Receiver<PeerRevision>,
    revision: u64,
    /// Whether the process can't serve before the keys are read.
    urgent: bool,
    requests: ListingRequests,
    /// Time before which no watch follows the last changes.
    next_watch: Instant,
}

impl KeyWatcher {
    /// Creates a watcher of the keys that begin with `prefix`; nothing is read yet.
    ///
    /// `peer_revisions` receives the highest revision of another process.
    pub fn new(
        store: SocketAddrV4,
        prefix: &'static str,
        peer_revisions: watch::Receiver<PeerRevision>,
    ) -> KeyWatcher {
        KeyWatcher {
            store,
            client: StoreClient::new(store, CALL_TIMEOUT),
            prefix,
            peer_revisions,
            revision: 0,
            urgent: false,
            requests: ListingRequests::default(),
            next_watch: Instant::now(),
        }
    }

    /// Makes the first read urgent, for a process that can't serve before the keys are read: reads
    /// are hedged and the backoff is shorter.
    pub fn urgent(mut self) -> KeyWatcher {
        self.urgent = true;
        self
    }

    /// Lists all keys when `listing_wanted` shows a time after the start of the last listing, also during
    /// a watch or the delay after changes, and passes failed requests to the handler.
    pub fn on_demand(mut self, listing_wanted: watch::Receiver<Option<Millis>>) -> KeyWatcher {
        self.requests.receiver = Some(listing_wanted);
        self
    }

    /// Reads the keys and watches their changes. `handle` returns `None` to end the watch.
    pub async fn run(mut self, mut handle: impl AsyncFnMut(KeyEvent) -> Option<WatchProgress>) {
        let mut after = None;
        let mut backoff = StoreBackoff::default();
        loop {
            match self.call(after).await {
                Ok((event, revision)) => {
                    backoff.record_success(self.prefix);
                    after = revision;
                    let Some(event) = event else {
                        continue;
                    };
                    self.urgent = false;
                    let changed = matches!(event, KeyEvent::Changes(_));
                    let Some(progress) = handle(event).await else {
                        return;
                    };
                    self.revision = progress.revision;
                    self.requests.demand.has_missing_entries = progress.has_missing_entries;
                    self.requests.demand.agents = progress.listed_agents;
                    if changed {
                        self.next_watch = Instant::now() + progress.batch_delay;
                    }
                }
                Err(error) => {
                    // A watch that was interrupted may have missed changes, and one that resumes
                    // from an old revision may wait for the next change.
                    after = None;
                    if self.requests.receiver.is_some() && handle(KeyEvent::Failed).await.is_none()
                    {
                        return;
                    }
                    let longest = if self.urgent {
                        MAX_URGENT_BACKOFF
                    } else {
                        MAX_BACKOFF
                    };
                    sleep(backoff.record_failure(self.prefix, &error, longest)).await;
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

    /// Makes one request; returns its event, and the revision from which the next watch resumes.
    async fn call(
        &mut self,
        after: Option<u64>,
    ) -> Result<(Option<KeyEvent>, Option<u64>), StoreError> {
        let Some(after) = after else {
            let started = BootClock.now();
            self.requests.demand.note_started(started);
            let listing = self.list().await?;
            self.requests.demand.note_success(started);
            let revision = listing.revision;
            return Ok((Some(KeyEvent::All(listing, started)), Some(revision)));
        };
        let next_watch = self.next_watch;
        let client = &mut self.client;
        let watch = async {
            sleep_until(next_watch).await;
            client.watch(self.prefix, after, WATCH_WAIT).await
        };
        let response = tokio::select! {
            response = watch => response?,
            () = self.requests.wait() => {
                debug!(prefix = self.prefix, "listing on demand");
                return Ok((None, None));
            }
            seen = wait_until_behind(next_watch, &mut self.peer_revisions, self.revision) => {
                let revision = self.revision;
                info!(
                    prefix = self.prefix,
                    seen,
                    revision,
                    "a peer has a newer revision; reading the keys again"
                );
                return Ok((None, None));
            }
        };
        match response {
            WatchResponse::Changes(changes, revision) => {
                let event = (!changes.is_empty()).then_some(KeyEvent::Changes(changes));
                Ok((event, Some(revision.max(after))))
            }
            WatchResponse::Compacted => {
                info!(
                    prefix = self.prefix,
                    after, "store has compacted its history; reading the keys again"
                );
                Ok((None, None))
            }
        }
    }
}

/// Waits until a peer has had a newer revision than `revision` for `LAG_TIMEOUT`; returns it.
/// The time begins at `next_watch` at the earliest, as every process may lag behind until then.
async fn wait_until_behind(
    next_watch: Instant,
    peer_revisions: &mut watch::Receiver<PeerRevision>,
    revision: u64,
) -> u64 {
    sleep_until(next_watch).await;
    let newer = peer_revisions
        .wait_for(|peer_revision| peer_revision.revision > revision)
        .await
        .map(|peer_revision| peer_revision.revision);
    let Ok(newer) = newer else {
        // The traffic thread has ended, and the process is about to end.
        return std::future::pending().await;
    };
    sleep(LAG_TIMEOUT).await;
    newer
}
