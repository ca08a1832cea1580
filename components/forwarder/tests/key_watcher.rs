//! Following keys of the store through its faults.

use std::{
    net::Ipv4Addr,
    time::Duration, //
};

use carobdrum_forwarder::{
    KeyEvent,
    KeyWatcher,
    PeerRevision, //
};
use carobdrum_platform::StoreChange;
use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use tokio::{
    sync::{
        mpsc,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

const PREFIX: &str = "op/";
const KEY: &str = "op/config";

/// Time within which a change must be in force.
const BOUND: Duration = Duration::from_secs(3);

/// Time for a call to reach the store.
const SETTLE: Duration = Duration::from_millis(200);

/// A follower in a task, and what it reads of `KEY`.
struct Followed {
    store: LeaseServer,
    seen: watch::Sender<PeerRevision>,
    values: mpsc::UnboundedReceiver<String>,
}

async fn start_store() -> LeaseServer {
    let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
    store.put(KEY, "1");
    store
}

async fn follow() -> Followed {
    follow_store(start_store().await, |watcher| watcher)
}

fn follow_store(store: LeaseServer, build: impl Fn(KeyWatcher) -> KeyWatcher) -> Followed {
    let (seen, versions) = watch::channel(PeerRevision::default());
    let watcher = build(KeyWatcher::new(store.address(), PREFIX, versions));
    let (values, receiver) = mpsc::unbounded_channel();
    tokio::spawn(watcher.run(async move |news| {
        let mut version = 0;
        for value in values_of(news) {
            version = value.parse().ok()?;
            values.send(value).ok()?;
        }
        Some(version)
    }));
    Followed {
        store,
        seen,
        values: receiver,
    }
}

fn values_of(news: KeyEvent) -> Vec<String> {
    let items = match news {
        KeyEvent::All(listing) => listing.items,
        KeyEvent::Changes(changes) => changes
            .into_iter()
            .filter_map(|change| match change {
                StoreChange::Put(item) => Some(item),
                StoreChange::Deleted(..) => None,
            })
            .collect(),
    };
    let text = |value: Vec<u8>| String::from_utf8(value).unwrap();
    items.into_iter().map(|item| text(item.value)).collect()
}

impl Followed {
    async fn expect(&mut self, value: &str) {
        let wait = async {
            while let Some(read) = self.values.recv().await {
                if read == value {
                    return;
                }
            }
        };
        timeout(BOUND, wait)
            .await
            .expect("the value is read in time");
    }
}

/// Guards against a configuration that is missed because a watch was cut and opened again before
/// the store dropped its history, so that it waited for the next change.
#[tokio::test]
async fn reads_what_a_cut_watch_has_missed() {
    let mut followed = follow().await;
    followed.expect("1").await;
    sleep(SETTLE).await;
    followed.store.set_watches_paused(true);
    followed.store.put(KEY, "2");
    sleep(SETTLE).await;
    followed.store.close_connections();
    followed.expect("2").await;
}

/// Guards against a watch that never hears of a change that other processes have.
#[tokio::test]
async fn reads_anew_when_another_process_has_a_newer_version() {
    let mut followed = follow().await;
    followed.expect("1").await;
    sleep(SETTLE).await;
    followed.store.set_watches_paused(true);
    followed.store.put(KEY, "2");
    followed.seen.send_replace(PeerRevision {
        revision: 2,
        peer: Ipv4Addr::LOCALHOST,
    });
    followed.expect("2").await;
}

/// Guards against a follower that stays behind after an outage.
#[tokio::test]
async fn goes_on_after_an_outage() {
    let mut followed = follow().await;
    followed.expect("1").await;
    followed.store.set_mode(StoreMode::Unavailable);
    followed.store.close_connections();
    followed.store.put(KEY, "2");
    sleep(SETTLE).await;
    followed.store.set_mode(StoreMode::Open);
    followed.expect("2").await;
}

/// Guards against a follower that takes a dropped history for no changes.
#[tokio::test]
async fn reads_anew_when_the_history_is_gone() {
    let mut followed = follow().await;
    followed.expect("1").await;
    sleep(SETTLE).await;
    followed.store.set_watches_paused(true);
    followed.store.put(KEY, "2");
    followed.store.compact_history();
    followed.store.set_watches_paused(false);
    followed.expect("2").await;
}

/// Guards against versions of a quick series that are lost in the pause between two watches.
#[tokio::test]
async fn reads_the_last_of_a_series_of_changes() {
    let mut followed = follow().await;
    followed.expect("1").await;
    for version in 2..12 {
        followed.store.put(KEY, &version.to_string());
        sleep(SETTLE / 10).await;
    }
    followed.expect("11").await;
}

/// Guards against a balancer that starts while the store is silent, and after the store's return waits
/// for the time limit of a call that will never be answered: callers were not served for a second more.
#[tokio::test]
async fn reads_soon_after_a_silent_store_is_back() {
    let store = start_store().await;
    store.set_mode(StoreMode::Unresponsive);
    let mut followed = follow_store(store, KeyWatcher::urgent);
    sleep(SETTLE).await;
    followed.store.set_mode(StoreMode::Open);
    timeout(Duration::from_millis(600), followed.expect("1"))
        .await
        .expect("the value is read long before the first call times out");
}
