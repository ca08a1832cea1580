//! Listings of the store on demand.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    ops::RangeInclusive,
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_core::Millis;
use carobdrum_forwarder::{
    KeyEvent,
    KeyWatcher,
    ListingDemand,
    PeerRevision,
    WatchProgress, //
};
use carobdrum_platform::StoreChange;
use carobdrum_platform_standins::{
    LeaseServer,
    StoreMode, //
};
use rstest::rstest;
use tokio::{
    io::{
        AsyncReadExt,
        AsyncWriteExt, //
    },
    net::TcpListener,
    sync::{
        mpsc,
        watch, //
    },
    time::{
        sleep,
        timeout, //
    },
};

const PREFIX: &str = "agents/";
const KEY: &str = "agents/10.0.0.1:80";

/// Time within which a listing on demand must have ended.
const LISTING_TIME: Duration = Duration::from_millis(600);

/// Time within which a change must be read, the longest delay included.
const DELAY_TIME: Duration = Duration::from_secs(6);

/// Number of agents for which the delay after changes is longest.
const AGENTS: usize = 5_700;

/// A watcher in a task that lists on demand, and its events.
struct DemandSite {
    store: LeaseServer,
    wanted: watch::Sender<Option<Millis>>,
    _peer_revisions: watch::Sender<PeerRevision>,
    events: mpsc::UnboundedReceiver<KeyEvent>,
    /// Time on the watcher's clock at its first listing.
    first: Millis,
    first_seen: Instant,
}

impl DemandSite {
    /// Starts a watcher that has read one key; `has_missing_entries` is what its handler finds in each event.
    async fn start(has_missing_entries: bool) -> DemandSite {
        DemandSite::start_with(AGENTS, has_missing_entries).await
    }

    /// Starts such a watcher in a fleet of this many agents.
    async fn start_with(agents: usize, has_missing_entries: bool) -> DemandSite {
        let store = LeaseServer::start(Ipv4Addr::LOCALHOST).await.unwrap();
        store.put(KEY, "1");
        let (peer_revisions, none) = watch::channel(PeerRevision::default());
        let (wanted, listing_wanted) = watch::channel(None);
        let watcher = KeyWatcher::new(store.address(), PREFIX, none).on_demand(listing_wanted);
        let (sender, events) = mpsc::unbounded_channel();
        tokio::spawn(watcher.run(async move |event| {
            sender.send(event).ok()?;
            Some(WatchProgress {
                has_missing_entries,
                ..WatchProgress::of_agents(agents)
            })
        }));
        let mut site = DemandSite {
            store,
            wanted,
            _peer_revisions: peer_revisions,
            events,
            first: Millis(0),
            first_seen: Instant::now(),
        };
        let (_, started) = site.next_listing().await;
        site.first = started;
        site.first_seen = Instant::now();
        // The listing is older than the shortest interval, and the watch has begun.
        sleep(Duration::from_millis(600)).await;
        site
    }

    /// Wants a listing from now on, and returns this time.
    fn want(&self) -> Millis {
        let elapsed = self.first_seen.elapsed().as_millis() as u64;
        let now = self.first.plus(Millis(elapsed));
        self.wanted.send_replace(Some(now));
        now
    }

    async fn next(&mut self) -> KeyEvent {
        let event = timeout(LISTING_TIME, self.events.recv()).await;
        event.expect("no event in time").unwrap()
    }

    async fn next_listing(&mut self) -> (Vec<String>, Millis) {
        loop {
            if let KeyEvent::All(listing, started) = self.next().await {
                let keys = listing.items.iter().map(|item| item.key.to_string());
                return (keys.collect(), started);
            }
        }
    }
}

/// Guards against a search for lost flows that waits for a watch, which may last for half a minute.
#[tokio::test]
async fn lists_at_once_during_a_watch() {
    let mut site = DemandSite::start(false).await;
    let wanted = site.want();
    let (keys, started) = site.next_listing().await;
    assert_eq!(keys, [KEY]);
    assert!(started >= wanted);
    assert_eq!(site.store.calls("kv-range"), 2);
}

/// Guards against a search that waits for the delay after changes, and against a watch that follows the
/// listing before that delay has ended: calls would grow with the searches.
#[tokio::test]
async fn lists_at_once_in_the_delay_after_changes() {
    let mut site = DemandSite::start(false).await;
    site.store.put("agents/10.0.0.2:80", "1");
    assert!(matches!(site.next().await, KeyEvent::Changes(_)));
    let watches = site.store.calls("kv-watch");
    site.want();
    let (keys, _) = site.next_listing().await;
    assert_eq!(keys.len(), 2);
    sleep(LISTING_TIME).await;
    assert_eq!(site.store.calls("kv-watch"), watches);
}

/// Guards against changes between two listings that no watch delivers.
#[tokio::test]
async fn watches_from_the_listing_on() {
    let mut site = DemandSite::start(false).await;
    for number in 2..6 {
        site.want();
        site.next_listing().await;
        site.store.put(&format!("agents/10.0.0.{number}:80"), "1");
        sleep(Duration::from_millis(300)).await;
    }
    site.want();
    let (keys, _) = site.next_listing().await;
    assert_eq!(keys.len(), 5);
    site.store.remove(KEY);
    let is_deletion = |event: &KeyEvent| {
        matches!(event, KeyEvent::Changes(changes)
        if changes.iter().any(|change| matches!(change, StoreChange::Deleted(key, _) if key == KEY)))
    };
    let wait = async { while !is_deletion(&site.events.recv().await.unwrap()) {} };
    timeout(DELAY_TIME, wait)
        .await
        .expect("no deletion in time");
}

/// Guards against a watch that goes on from the last page of a list: a key that was written behind the
/// first pages would never be read.
#[tokio::test]
async fn watches_from_the_first_page_on() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let port = listener.local_addr().unwrap().port();
    let (_sender, none) = watch::channel(PeerRevision::default());
    let (_wanted, listing_wanted) = watch::channel(None);
    let store = SocketAddrV4::new(Ipv4Addr::LOCALHOST, port);
    let watcher = KeyWatcher::new(store, PREFIX, none).on_demand(listing_wanted);
    let handle = async move |_| Some(WatchProgress::of_agents(1));
    tokio::spawn(watcher.run(handle));
    let page = |truncated: bool, revision: u64| {
        format!(
            r#"{{"items":[{{"Key":"{KEY}{truncated}","Value":"eA==","Revision":3}}],
                "Truncated":{truncated},"StoreRevision":{revision}}}"#
        )
    };
    let (mut stream, _) = listener.accept().await.unwrap();
    for body in [page(true, 9), page(false, 12), String::new()] {
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            request.push(stream.read_u8().await.unwrap());
        }
        let request = String::from_utf8(request).unwrap();
        if request.contains("kv-watch") {
            assert!(request.contains("&after=9&"), "{request}");
            assert!(body.is_empty());
        }
        let length = body.len();
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(response.as_bytes()).await.unwrap();
    }
}

/// Guards against calls to the store that grow with the number of lost flows, and against a large fleet that
/// lists as often as a small one.
#[rstest]
#[case::small_fleet(30, 6..=16)]
#[case::large_fleet(AGENTS, 2..=4)]
#[tokio::test]
async fn limits_the_rate_of_listings(#[case] agents: usize, #[case] calls: RangeInclusive<usize>) {
    let site = DemandSite::start_with(agents, false).await;
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(1_500) {
        site.want();
        sleep(Duration::from_millis(20)).await;
    }
    let listings = site.store.calls("kv-range") - 1;
    assert!(calls.contains(&listings), "{listings}");
}

/// Guards against an agent that is gone and counts for ever since only few flows search for it, and against
/// listings that never end.
#[tokio::test]
async fn lists_on_while_something_is_open() {
    let mut site = DemandSite::start(true).await;
    assert_eq!(site.store.calls("kv-range"), 1, "nothing is in demand yet");
    site.want();
    for _ in 0..5 {
        site.next_listing().await;
    }
    sleep(Duration::from_millis(2_500)).await;
    let calls = site.store.calls("kv-range");
    sleep(Duration::from_millis(1_000)).await;
    assert_eq!(site.store.calls("kv-range"), calls);
}

/// Guards against the time of an outage that counts as one in which the store answered, and against an
/// outage that ends the listings.
#[tokio::test]
async fn reports_failed_requests() {
    let mut site = DemandSite::start(false).await;
    site.store.set_mode(StoreMode::Unavailable);
    site.want();
    assert!(matches!(site.next().await, KeyEvent::Failed));
    site.store.set_mode(StoreMode::Open);
    site.next_listing().await;
}

/// Guards against listings without a demand, and against a demand that is met twice.
#[test]
fn demand_is_met_by_a_listing_that_was_started_later() {
    let mut demand = ListingDemand::default();
    assert_eq!(demand.next_listing(Millis(50)), None);
    demand.note_started(Millis(100));
    demand.note_success(Millis(100));
    demand.wanted = Some(Millis(100));
    assert_eq!(demand.next_listing(Millis(110)), None);
    demand.wanted = Some(Millis(101));
    assert_eq!(demand.next_listing(Millis(110)), Some(Millis(200)));
    demand.note_started(Millis(400));
    assert_eq!(
        demand.next_listing(Millis(400)),
        Some(Millis(500)),
        "it may fail"
    );
    demand.note_success(Millis(400));
    assert_eq!(demand.next_listing(Millis(400)), None);
    demand.has_missing_entries = true;
    assert_eq!(demand.next_listing(Millis(400)), Some(Millis(900)));
    assert_eq!(demand.next_listing(Millis(4_101)), None);
}

/// Guards against searches that wait longer for a listing than the size of the fleet requires, and against
/// large fleets that list more often than twice a second.
#[rstest]
#[case::empty(0, 100)]
#[case::shortest(50, 100)]
#[case::by_agents(51, 102)]
#[case::last_by_agents(249, 498)]
#[case::longest(250, 500)]
#[case::target_size(AGENTS, 500)]
#[case::any(usize::MAX, 500)]
fn the_interval_follows_the_number_of_agents(#[case] agents: usize, #[case] interval: u64) {
    let mut demand = ListingDemand::default();
    demand.agents = agents;
    demand.wanted = Some(Millis(1_001));
    demand.note_started(Millis(1_000));
    demand.note_success(Millis(1_000));
    let due = Some(Millis(1_000 + interval));
    assert_eq!(demand.next_listing(Millis(1_010)), due);
    demand.has_missing_entries = true;
    assert_eq!(demand.next_listing(Millis(1_010)), due);
    demand.wanted = Some(Millis(1_000));
    let in_series = Some(Millis(1_500));
    assert_eq!(demand.next_listing(Millis(1_010)), in_series);
}
