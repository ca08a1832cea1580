//! What a process does at the platform's key-value service.

use std::{
    net::SocketAddrV4,
    sync::Arc,
    time::Duration, //
};

use carobdrum_core::version::ConfigVersion;
use carobdrum_settings::{
    ProcessSettings,
    StoreSettings, //
};
use carobdrum_store::{
    KeyEntry,
    RetryPlan,
    SessionEnd,
    StoreClient,
    StoreError, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use ractor::ActorRef;
use rand::{
    rngs::StdRng,
    Rng,
    SeedableRng, //
};
use tokio::{
    sync::{
        watch,
        Notify, //
    },
    task::JoinHandle,
    time::{
        sleep,
        timeout, //
    },
};
use tracing::{
    debug,
    info,
    warn, //
};

use crate::{
    ConfigMessage,
    KeyWrapper,
    PublishedState, //
};

/// Prefix of the entry points.
const ENTRIES: &str = "entry/";
/// Key of the wrapped key ring.
const KEYS: &str = "keys";
/// Entry points of a data centre. Two, so that one can be lost without a gap; not more, because
/// each holds a watch, which the store counts as a call.
const ENTRIES_PER_CENTRE: u32 = 2;
/// Lease of an entry point.
const LEASE: Duration = Duration::from_secs(15);
/// Pace of renewals: three tries within a lease.
const RENEWAL_PACE: Duration = Duration::from_secs(5);
/// Pace at which a balancer looks for a vacant entry point, with jitter. At 530 balancers this
/// makes 18 reads a second.
const VACANCY_PACE: Duration = Duration::from_secs(30);
/// The same pace while the balancer knows no other, which may be because the entry points that it
/// read were those of balancers that have gone.
const LONELY_PACE: Duration = Duration::from_secs(1);
/// Longest wait of one blocking query.
const WATCH_WAIT: Duration = Duration::from_secs(30);
const FIRST_RETRY: Duration = Duration::from_millis(100);
const LONGEST_RETRY: Duration = Duration::from_secs(5);
/// Time over which processes that start together spread their first reads.
const START_SPREAD: Duration = Duration::from_millis(100);
/// Age at which a key ring is rotated.
const ROTATION_PACE: Duration = Duration::from_secs(24 * 60 * 60);

/// What a process does at the store after its first read.
pub enum StoreDuty {
    /// Reads the entry points, tries to become one, and watches while it is one.
    Watch {
        /// Where the entry points are published.
        entries: watch::Sender<Vec<SocketAddrV4>>,
        /// Whether the balancer knows no other.
        alone: watch::Receiver<bool>,
        /// Becomes true at the planned stop.
        stopped: watch::Receiver<bool>,
    },
    /// Reads the entry points, and again when asked to.
    Read {
        /// Where the entry points are published.
        entries: watch::Sender<Vec<SocketAddrV4>>,
        /// Wakes the task when no balancer answers any more.
        wanted: Arc<Notify>,
    },
}

/// Starts the store task on the current runtime. A balancer's ends soon after its planned stop, when
/// the entry point is vacant.
pub fn spawn_store(
    store: &StoreSettings,
    process: &ProcessSettings,
    vault: KeyWrapper,
    config: ActorRef<ConfigMessage>,
    state: watch::Receiver<PublishedState>,
    duty: StoreDuty,
) -> JoinHandle<()> {
    let task = StoreTask {
        client: StoreClient::new(store.address, store.deployment.clone()),
        process: process.clone(),
        vault,
        config,
        state,
        random: StdRng::from_os_rng(),
        is_down: false,
    };
    tokio::spawn(task.run(duty))
}

#[derive(Clone)]
struct StoreTask {
    client: StoreClient,
    process: ProcessSettings,
    vault: KeyWrapper,
    config: ActorRef<ConfigMessage>,
    state: watch::Receiver<PublishedState>,
    random: StdRng,
    /// Whether the last call failed, so that an outage is logged once.
    is_down: bool,
}

impl StoreTask {
    async fn run(mut self, duty: StoreDuty) {
        sleep(RetryPlan::initial_delay(START_SPREAD, &mut self.random)).await;
        match duty {
            StoreDuty::Watch {
                entries,
                alone,
                mut stopped,
            } => {
                tokio::select! {
                    () = self.start(None) => {}
                    _ = stopped.wait_for(|stop| *stop) => return,
                }
                self.hold_entry(entries, alone, stopped).await;
            }
            StoreDuty::Read { entries, wanted } => loop {
                self.start(Some(&entries)).await;
                wanted.notified().await;
            },
        }
    }

    /// Reads until the store has answered and, if `entries` are wanted, has named one.
    async fn start(&mut self, entries: Option<&watch::Sender<Vec<SocketAddrV4>>>) {
        let mut plan = RetryPlan::new(FIRST_RETRY, LONGEST_RETRY);
        loop {
            match self.read_once(entries).await {
                Ok(true) => {
                    self.note_answer();
                    return;
                }
                Ok(false) => self.pause(&mut plan, "no entry point yet").await,
                Err(error) => self.pause(&mut plan, &error).await,
            }
        }
    }

    /// Reads keys, version and, if wanted, the entry points; returns whether nothing is missing.
    async fn read_once(
        &mut self,
        entries: Option<&watch::Sender<Vec<SocketAddrV4>>>,
    ) -> Result<bool, StoreError> {
        self.read_keys().await?;
        if let Some(stored) = self.client.read_version().await? {
            self.offer_version(stored.version);
        }
        match entries {
            Some(entries) => Ok(!self.read_entries(entries).await?.is_empty()),
            // A balancer reads them next, when it looks for a vacant one.
            None => Ok(true),
        }
    }

    async fn read_entries(
        &self,
        entries: &watch::Sender<Vec<SocketAddrV4>>,
    ) -> Result<Vec<KeyEntry>, StoreError> {
        let found = self.client.list_prefix(ENTRIES).await?;
        entries.send_replace(found.iter().filter_map(address_of).collect());
        Ok(found)
    }

    /// Reads the key ring, and creates it if this is the first process of the deployment.
    async fn read_keys(&mut self) -> Result<(), StoreError> {
        let mut entry = self.client.read_key(KEYS).await?;
        if entry.is_none() {
            let ring = self.vault.initial_ring(&mut self.random);
            let wrapped = self.vault.wrap(&ring, &mut self.random);
            if self.client.write_key_cas(KEYS, wrapped, 0).await? {
                info!("first key ring created");
            }
            // Another process may have been first, so the store's ring counts.
            entry = self.client.read_key(KEYS).await?;
        }
        if let Some(entry) = entry {
            self.offer_keys(&entry);
        }
        Ok(())
    }

    /// Becomes an entry point whenever one is vacant in this data centre.
    async fn hold_entry(
        mut self,
        entries: watch::Sender<Vec<SocketAddrV4>>,
        alone: watch::Receiver<bool>,
        mut stopped: watch::Receiver<bool>,
    ) {
        let mut plan = RetryPlan::new(FIRST_RETRY, LONGEST_RETRY);
        while !*stopped.borrow() {
            let wait = match self.try_entry(&entries, &mut stopped).await {
                Ok(()) => {
                    plan.reset();
                    self.note_answer();
                    let pace = if *alone.borrow() {
                        LONELY_PACE
                    } else {
                        VACANCY_PACE
                    };
                    pace.mul_f64(self.random.random_range(0.5..1.5))
                }
                Err(error) => self.note_failure(&mut plan, &error),
            };
            let _ = timeout(wait, stopped.wait_for(|stop| *stop)).await;
        }
    }

    /// Takes a vacant entry point and serves until its lease is lost.
    async fn try_entry(
        &mut self,
        entries: &watch::Sender<Vec<SocketAddrV4>>,
        stopped: &mut watch::Receiver<bool>,
    ) -> Result<(), StoreError> {
        let prefix = format_compact!("{ENTRIES}{}/", self.process.data_centre);
        let found = self.read_entries(entries).await?;
        let is_held = |entry: &&KeyEntry| entry.session.is_some() && entry.key.contains(&*prefix);
        let held = found.iter().filter(is_held).count();
        if held >= ENTRIES_PER_CENTRE as usize {
            return Ok(());
        }
        let session = self
            .client
            .create_session(LEASE, SessionEnd::Delete)
            .await?;
        for number in 0..ENTRIES_PER_CENTRE {
            let key = format_compact!("{prefix}{number}");
            let value = self.process.address.to_string();
            if self.client.acquire_key(&key, value, &session).await? {
                info!(%key, "entry point taken");
                self.read_entries(entries).await?;
                tokio::select! {
                    ended = self.serve_entry(&session) => return ended,
                    _ = stopped.wait_for(|stop| *stop) => {}
                }
                break;
            }
        }
        self.client.destroy_session(&session).await
    }

    /// Watches version and keys, and renews the lease. Reading and spreading twice does no harm, so
    /// a holder that has lost its lease without noticing needs no fencing.
    async fn serve_entry(&mut self, session: &CompactString) -> Result<(), StoreError> {
        let renewing = self.clone().renew(session.clone());
        let versions = self.clone().watch_versions();
        let keys = self.clone().watch_keys();
        let rotation = self.clone().rotate_keys();
        tokio::select! {
            ended = renewing => ended,
            () = versions => Ok(()),
            () = keys => Ok(()),
            () = rotation => Ok(()),
        }
    }

    async fn renew(self, session: CompactString) -> Result<(), StoreError> {
        let mut failures = 0;
        loop {
            sleep(RENEWAL_PACE).await;
            match self.client.renew_session(&session).await {
                Ok(true) => failures = 0,
                Ok(false) => {
                    info!("entry point lost: its lease has lapsed");
                    return Ok(());
                }
                // A store that is down for long can't give the entry point to anybody else.
                Err(error) => {
                    failures += 1;
                    debug!(%error, failures, "lease not renewed");
                }
            }
        }
    }

    async fn watch_versions(mut self) {
        let mut plan = RetryPlan::new(FIRST_RETRY, LONGEST_RETRY);
        let mut index = 0;
        loop {
            match self.client.watch_version(index, WATCH_WAIT).await {
                Ok(watch) => {
                    plan.reset();
                    self.note_answer();
                    index = next_index(index, watch.index);
                    if let Some(version) = watch.version {
                        self.offer_version(version);
                    }
                }
                Err(error) => self.pause(&mut plan, &error).await,
            }
        }
    }

    async fn watch_keys(mut self) {
        let mut plan = RetryPlan::new(FIRST_RETRY, LONGEST_RETRY);
        let mut index = 0;
        loop {
            match self.client.watch_key(KEYS, index, WATCH_WAIT).await {
                Ok(watch) => {
                    plan.reset();
                    self.note_answer();
                    index = next_index(index, watch.index);
                    if let Some(entry) = watch.entry {
                        self.offer_keys(&entry);
                    }
                }
                Err(error) => self.pause(&mut plan, &error).await,
            }
        }
    }

    /// Rotates the key ring; of several entry points that try, compare-and-swap lets one win.
    async fn rotate_keys(mut self) {
        loop {
            sleep(ROTATION_PACE.mul_f64(self.random.random_range(1.0..1.1))).await;
            if let Err(error) = self.rotate_once().await {
                info!(%error, "key ring not rotated");
            }
        }
    }

    async fn rotate_once(&mut self) -> Result<(), StoreError> {
        let Some(entry) = self.client.read_key(KEYS).await? else {
            return Ok(());
        };
        let Ok(ring) = self.vault.unwrap(&entry.value) else {
            return Ok(());
        };
        let in_force = self.state.borrow().key_version();
        if ring.version() != in_force {
            return Ok(());
        }
        let rotated = self.vault.rotate(&ring, &mut self.random);
        let wrapped = self.vault.wrap(&rotated, &mut self.random);
        if self
            .client
            .write_key_cas(KEYS, wrapped, entry.index)
            .await?
        {
            info!(version = rotated.version(), "key ring rotated");
        }
        Ok(())
    }

    fn offer_version(&self, version: ConfigVersion) {
        // Without the actor the process is stopping, and nobody needs the version.
        let _ = self
            .config
            .cast(ConfigMessage::OfferVersion(Box::new(version)));
    }

    fn offer_keys(&self, entry: &KeyEntry) {
        let _ = self
            .config
            .cast(ConfigMessage::OfferKeys(entry.value.to_vec()));
    }

    fn note_answer(&mut self) {
        if self.is_down {
            info!("the store serves again");
            self.is_down = false;
        }
    }

    async fn pause(&mut self, plan: &mut RetryPlan, reason: impl std::fmt::Display) {
        sleep(self.note_failure(plan, reason)).await;
    }

    /// Logs the begin of an outage and returns how long to wait.
    fn note_failure(&mut self, plan: &mut RetryPlan, reason: impl std::fmt::Display) -> Duration {
        if !self.is_down {
            warn!(%reason, "the store doesn't serve; it is asked again until it does");
            self.is_down = true;
        }
        plan.next_delay(&mut self.random).unwrap_or(LONGEST_RETRY)
    }
}

/// Returns the index to wait on next; one that goes backwards means that the store has started
/// anew, so the next query must not wait.
fn next_index(last: u64, found: u64) -> u64 {
    if found < last {
        0
    } else {
        found
    }
}

fn address_of(entry: &KeyEntry) -> Option<SocketAddrV4> {
    std::str::from_utf8(&entry.value).ok()?.parse().ok()
}
