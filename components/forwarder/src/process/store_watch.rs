//! Watch of keys in the store.

use std::time::Duration;

use carobdrum_core::Millis;
use carobdrum_flows::version::StoreRevision;
use carobdrum_platform::{
    StoreChange,
    StoreClient,
    StoreEndpoint,
    StoreError,
    StoreListing,
    WatchResponse, //
    WATCH_SLACK,
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
use crate::connection::{
    revision_and_era,
    PeerRevision, //
};

/// Shortest wait of a watch, which bounds the calls to the store whatever the settings ask for.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(500);

/// Longest wait of a watch that the store allows.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Time within which a lost response is noticed unless [`KeyWatcher::limited_to`] names another one.
const DEFAULT_WATCH_LIMIT: Duration = Duration::from_millis(2_400);

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
    /// Order number in force.
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
    store: StoreEndpoint,
    client: StoreClient,
    prefix: &'static str,
    /// Highest revision of another process; a watcher that has had an older one for `LAG_TIMEOUT`
    /// reads all keys again.
    peer_revisions: watch::Receiver<PeerRevision>,
    revision: u64,
    /// Time for which a watch waits for changes. A response may be lost while its connection lives, and only
    /// the end of the wait shows that.
    wait: Duration,
    /// Whether the process can't serve before the keys are read.
    urgent: bool,
    requests: ListingRequests,
    /// Number of outages of the store that have ended, as this watcher counts them.
    recovery_sender: Option<watch::Sender<u64>>,
    /// The same as another watcher counts them. Responses to this one may have been lost meanwhile.
    recoveries: Option<watch::Receiver<u64>>,
    /// Time before which no watch follows the last changes.
    next_watch: Instant,
    /// Era of the last list; zero before the first one.
    era: u32,
}

impl KeyWatcher {
    /// Creates a watcher of the keys that begin with `prefix`; nothing is read yet.
    ///
    /// `peer_revisions` receives the highest revision of another process.
    pub fn new(
        store: impl Into<StoreEndpoint>,
        prefix: &'static str,
        peer_revisions: watch::Receiver<PeerRevision>,
    ) -> KeyWatcher {
        let store = store.into();
        KeyWatcher {
            client: store.client(CALL_TIMEOUT),
            store,
            era: 0,
            prefix,
            peer_revisions,
            revision: 0,
            wait: watch_wait(DEFAULT_WATCH_LIMIT),
            urgent: false,
            requests: ListingRequests::default(),
            recovery_sender: None,
            recoveries: None,
            next_watch: Instant::now(),
        }
    }

    /// Sets the time within which a lost response to a watch is noticed, and all keys are read again.
    pub fn limited_to(mut self, limit: Duration) -> KeyWatcher {
        self.wait = watch_wait(limit);
        self
    }

    /// Counts the outages of the store that have ended, and its returns from older copies.
    pub fn count_recoveries(mut self, sender: watch::Sender<u64>) -> KeyWatcher {
        self.recovery_sender = Some(sender);
        self
    }

    /// Reads all keys again when another watcher has found the end of an outage of the store, in which a response to this
    /// one may have been lost as well.
    pub fn follow_recoveries(mut self, receiver: watch::Receiver<u64>) -> KeyWatcher {
        self.recoveries = Some(receiver);
        self
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
                    if backoff.record_success(self.prefix) {
                        self.note_recovery();
                    }
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

    fn note_recovery(&self) {
        if let Some(sender) = &self.recovery_sender {
            sender.send_modify(|recoveries| *recoveries += 1);
        }
    }

    async fn list(&mut self) -> Result<StoreListing, StoreError> {
        if !self.urgent {
            return self.client.list(self.prefix).await;
        }
        let (client, listing) = list_hedged(&self.store, self.prefix).await?;
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
            if let Some(recoveries) = &mut self.recoveries {
                recoveries.mark_unchanged();
            }
            let listing = self.list().await?;
            self.requests.demand.note_success(started);
            let revision = listing.revision;
            let era = StoreRevision::from_order(revision).era;
            let before = std::mem::replace(&mut self.era, era);
            if before != 0 && before != era {
                self.note_recovery();
            }
            return Ok((Some(KeyEvent::All(listing, started)), Some(revision)));
        };
        let next_watch = self.next_watch;
        let (client, wait) = (&mut self.client, self.wait);
        let watch = async {
            sleep_until(next_watch).await;
            client.watch(self.prefix, after, wait).await
        };
        let response = tokio::select! {
            response = watch => response?,
            () = wait_for_recovery(&mut self.recoveries) => {
                info!(prefix = self.prefix, "store was away meanwhile; reading the keys again");
                return Ok((None, None));
            }
            () = self.requests.wait() => {
                debug!(prefix = self.prefix, "listing on demand");
                return Ok((None, None));
            }
            seen = wait_until_behind(next_watch, &mut self.peer_revisions, self.revision) => {
                let (revision, era) = revision_and_era(self.revision);
                let (seen, seen_era) = revision_and_era(seen);
                info!(
                    prefix = self.prefix,
                    seen,
                    seen_era,
                    revision,
                    era,
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
                let (after, era) = revision_and_era(after);
                info!(
                    prefix = self.prefix,
                    after, era, "store no longer has these changes; reading the keys again"
                );
                Ok((None, None))
            }
        }
    }
}

/// Waits until another watcher has found the end of an outage.
async fn wait_for_recovery(recoveries: &mut Option<watch::Receiver<u64>>) {
    let Some(recoveries) = recoveries else {
        return std::future::pending().await;
    };
    if recoveries.changed().await.is_err() {
        // The other watcher has ended, and the process is about to end.
        std::future::pending().await
    }
}

/// Returns the wait of watches of which a lost response is noticed within `limit`.
fn watch_wait(limit: Duration) -> Duration {
    let wait = limit.saturating_sub(WATCH_SLACK);
    wait.clamp(MIN_WATCH_WAIT, MAX_WATCH_WAIT)
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
