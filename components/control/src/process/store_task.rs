//! The task that reads from and writes to the platform's key-value store.
//!
//! An entry point is a balancer whose address is in the store, under a lease. Other processes read
//! these addresses in order to join the fleet. Only entry points watch the store; all others get
//! new versions and key rings from their peers.

mod entry_point;
mod key_rotation;

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
    StoreClient,
    StoreError, //
};
use ractor::ActorRef;
use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use tokio::{
    sync::{
        watch,
        Notify, //
    },
    task::JoinHandle,
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use crate::{
    unix_millis,
    ConfigMessage,
    KeyWrapper,
    PublishedState, //
};

/// Prefix of the entry points' keys; the data centre and a number follow.
const ENTRY_POINT_PREFIX: &str = "entry/";
/// Key of the wrapped key ring in the store.
pub const KEY_RING_KEY: &str = "keys";
/// Time after which the store answers a blocking query even without a change. A response may be lost while its
/// connection lives, which only the end of this time shows, and a version has to be in force within 3 s.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Upper bound of the random delay of the first read, which spreads the reads of processes that
/// start together.
const MAX_START_DELAY: Duration = Duration::from_millis(100);
/// What a process does at the store besides reading the configuration and the key ring at its
/// start.
pub enum StoreRole {
    /// A balancer: reads the entry points, becomes one when one is vacant, and watches the store
    /// while it is one.
    Watcher {
        /// Receives the addresses of the entry points after each read.
        entry_points: watch::Sender<Vec<SocketAddrV4>>,
        /// Whether the balancer knows no other balancer.
        isolated: watch::Receiver<bool>,
        /// Becomes true when the graceful shutdown starts.
        stopped: watch::Receiver<bool>,
    },
    /// An agent: reads the entry points at its start and whenever `refresh` is notified.
    Reader {
        /// Receives the addresses of the entry points after each read.
        entry_points: watch::Sender<Vec<SocketAddrV4>>,
        /// Notified when no balancer acknowledges the agent any more.
        refresh: Arc<Notify>,
    },
}

/// Starts the store task on the current runtime. The task of a balancer ends soon after the
/// graceful shutdown starts, once it has released its entry point; that of an agent doesn't end.
pub fn spawn_store(
    store: &StoreSettings,
    process: &ProcessSettings,
    wrapper: KeyWrapper,
    config: ActorRef<ConfigMessage>,
    state: watch::Receiver<PublishedState>,
    role: StoreRole,
) -> JoinHandle<()> {
    let task = StoreTask {
        client: StoreClient::new(store.address, store.deployment.clone()),
        process: process.clone(),
        wrapper,
        config,
        state,
        random: StdRng::from_os_rng(),
        is_down: false,
    };
    tokio::spawn(task.run(role))
}

#[derive(Clone)]
struct StoreTask {
    client: StoreClient,
    process: ProcessSettings,
    wrapper: KeyWrapper,
    config: ActorRef<ConfigMessage>,
    state: watch::Receiver<PublishedState>,
    random: StdRng,
    /// Whether the last access failed; used to log an outage only once.
    is_down: bool,
}

impl StoreTask {
    async fn run(mut self, role: StoreRole) {
        sleep(RetryPlan::initial_delay(MAX_START_DELAY, &mut self.random)).await;
        match role {
            StoreRole::Watcher {
                entry_points,
                isolated,
                mut stopped,
            } => {
                tokio::select! {
                    () = self.read_until_complete(None) => {}
                    _ = stopped.wait_for(|stop| *stop) => return,
                }
                self.hold_entry_point(entry_points, isolated, stopped).await;
            }
            StoreRole::Reader {
                entry_points,
                refresh,
            } => loop {
                self.read_until_complete(Some(&entry_points)).await;
                refresh.notified().await;
            },
        }
    }

    /// Reads until the store has responded and, if `entry_points` is given, has returned at least
    /// one entry point.
    async fn read_until_complete(
        &mut self,
        entry_points: Option<&watch::Sender<Vec<SocketAddrV4>>>,
    ) {
        let mut plan = RetryPlan::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        loop {
            match self.read_once(entry_points).await {
                Ok(true) => {
                    self.record_success();
                    return;
                }
                Ok(false) => self.back_off(&mut plan, "no entry point yet").await,
                Err(error) => self.back_off(&mut plan, &error).await,
            }
        }
    }

    /// Reads the key ring, the version and, if `entry_points` is given, the entry points. Returns
    /// false if there is no entry point yet.
    async fn read_once(
        &mut self,
        entry_points: Option<&watch::Sender<Vec<SocketAddrV4>>>,
    ) -> Result<bool, StoreError> {
        self.read_keys().await?;
        if let Some(stored) = self.client.read_version().await? {
            self.offer_version(stored.version);
        }
        match entry_points {
            Some(entry_points) => Ok(!self.read_entry_points(entry_points).await?.is_empty()),
            // A balancer reads the entry points later, when it looks for a vacant one.
            None => Ok(true),
        }
    }

    async fn read_entry_points(
        &self,
        entry_points: &watch::Sender<Vec<SocketAddrV4>>,
    ) -> Result<Vec<KeyEntry>, StoreError> {
        let found = self.client.list_prefix(ENTRY_POINT_PREFIX).await?;
        entry_points.send_replace(found.iter().filter_map(parse_address).collect());
        Ok(found)
    }

    /// Reads the key ring. Creates it if the store holds none, as for the first process of a
    /// deployment.
    async fn read_keys(&mut self) -> Result<(), StoreError> {
        let mut entry = self.client.read_key(KEY_RING_KEY).await?;
        if entry.is_none() {
            let ring = self.wrapper.initial_ring(&mut self.random);
            let ring = ring.with_creation_ms(unix_millis());
            let wrapped = self.wrapper.wrap(&ring, &mut self.random);
            if self.client.write_key_cas(KEY_RING_KEY, wrapped, 0).await? {
                info!("created the first key ring");
            }
            // Another process may have created the ring first, so the store's copy is used.
            entry = self.client.read_key(KEY_RING_KEY).await?;
        }
        if let Some(entry) = entry {
            self.offer_keys(&entry);
        }
        Ok(())
    }

    async fn watch_versions(mut self) {
        let mut plan = RetryPlan::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut index = 0;
        loop {
            match self.client.watch_version(index, WATCH_TIMEOUT).await {
                Ok(watch) => {
                    plan.reset();
                    self.record_success();
                    index = next_index(index, watch.index);
                    if let Some(version) = watch.version {
                        self.offer_version(version);
                    }
                }
                Err(error) => self.back_off(&mut plan, &error).await,
            }
        }
    }

    async fn watch_keys(mut self) {
        let mut plan = RetryPlan::new(FIRST_RETRY_DELAY, MAX_RETRY_DELAY);
        let mut index = 0;
        loop {
            match self
                .client
                .watch_key(KEY_RING_KEY, index, WATCH_TIMEOUT)
                .await
            {
                Ok(watch) => {
                    plan.reset();
                    self.record_success();
                    index = next_index(index, watch.index);
                    if let Some(entry) = watch.entry {
                        self.offer_keys(&entry);
                    }
                }
                Err(error) => self.back_off(&mut plan, &error).await,
            }
        }
    }

    fn offer_version(&self, version: ConfigVersion) {
        // The cast fails only if the actor has ended because the process is stopping.
        let _ = self
            .config
            .cast(ConfigMessage::OfferVersion(Box::new(version)));
    }

    fn offer_keys(&self, entry: &KeyEntry) {
        let _ = self
            .config
            .cast(ConfigMessage::OfferKeys(entry.value.to_vec()));
    }

    fn record_success(&mut self) {
        if self.is_down {
            info!("store access works again");
            self.is_down = false;
        }
    }

    async fn back_off(&mut self, plan: &mut RetryPlan, reason: impl std::fmt::Display) {
        sleep(self.record_failure(plan, reason)).await;
    }

    /// Logs the start of an outage and returns the delay before the next attempt.
    fn record_failure(&mut self, plan: &mut RetryPlan, reason: impl std::fmt::Display) -> Duration {
        if !self.is_down {
            warn!(%reason, "store access failed; retrying until it succeeds");
            self.is_down = true;
        }
        plan.next_delay(&mut self.random).unwrap_or(MAX_RETRY_DELAY)
    }
}

/// Returns the index for the next blocking query. An index lower than the last one means that the
/// store was restarted with new data, so the next query uses 0 in order not to block.
fn next_index(last: u64, found: u64) -> u64 {
    if found < last {
        0
    } else {
        found
    }
}

fn parse_address(entry: &KeyEntry) -> Option<SocketAddrV4> {
    std::str::from_utf8(&entry.value).ok()?.parse().ok()
}
