//! Tasks that keep the configuration of a process up to date, from the store and from peers.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    time::Duration,
};

use carobdrum_flows::process::AgentRecord;
use carobdrum_platform::{
    StoreEndpoint,
    OPERATOR_PREFIX, //
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

use super::{
    site_state::SiteState,
    snapshot_codec::decode_agents,
    snapshot_port::fetch_snapshot,
    store_watch::{
        KeyWatcher,
        WatchProgress, //
    },
};
use crate::connection::PeerRevision;

/// Time over which agents spread their requests to a balancer that shows a new configuration.
const FETCH_SPREAD: Duration = Duration::from_millis(200);

/// Time for which an agent without a configuration waits for the store, when it could ask a balancer as well.
const STORE_HEAD_START: Duration = Duration::from_millis(100);

/// Time for a read of the store by an agent that could ask a balancer instead.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Applies the operator's entries in the store and their changes.
pub(crate) async fn follow_config(
    state: Rc<SiteState>,
    watcher: KeyWatcher,
    peer_revisions: watch::Receiver<PeerRevision>,
) {
    let handle = async |event| {
        let peer_revision = peer_revisions.borrow().revision;
        state.apply_event(event, peer_revision);
        Some(WatchProgress::of_config(state.revision()))
    };
    watcher.run(handle).await;
}

/// Fetches the configuration from a peer that has had a newer one for `lag_timeout`, if the store
/// doesn't deliver it in that time.
pub(crate) async fn follow_peers(
    state: Rc<SiteState>,
    mut peer_revisions: watch::Receiver<PeerRevision>,
    port: u16,
    lag_timeout: Duration,
) {
    while let Some(newest) = wait_for_newer(&state, &mut peer_revisions).await {
        sleep(lag_timeout).await;
        if state.revision() >= newest.revision {
            continue;
        }
        adopt_newest(&state, &mut peer_revisions, port).await;
    }
}

/// Keeps the configuration of an agent as new as those of the balancers that send to it, without a
/// watch of its own: fetches it from the balancer that shows a newer one, or from the store if that
/// fails.
pub(crate) async fn follow_balancers(
    state: Rc<SiteState>,
    mut peer_revisions: watch::Receiver<PeerRevision>,
    port: u16,
    store: StoreEndpoint,
) {
    let mut shown = peer_revisions.clone();
    tokio::select! {
        () = read_config(&state, &store, &peer_revisions) => {}
        () = adopt_first(&state, &mut shown, port) => {}
    }
    while wait_for_newer(&state, &mut peer_revisions).await.is_some() {
        let delay = FETCH_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        sleep(delay).await;
        let newest = adopt_newest(&state, &mut peer_revisions, port).await;
        if state.revision() < newest.revision {
            read_config(&state, &store, &peer_revisions).await;
        }
    }
}

/// Fetches the first configuration of an agent from a balancer, unless the store delivers it soon. Without one, the agent
/// knows no limit of a cold server.
async fn adopt_first(
    state: &Rc<SiteState>,
    peer_revisions: &mut watch::Receiver<PeerRevision>,
    port: u16,
) {
    while !state.has_config() {
        if wait_for_newer(state, peer_revisions).await.is_none() {
            return;
        }
        let spread = FETCH_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
        sleep(STORE_HEAD_START + spread).await;
        if !state.has_config() {
            adopt_newest(state, peer_revisions, port).await;
        }
    }
}

/// Adopts the configuration of the process that showed the highest revision last, which is the
/// likeliest to run; returns that revision.
async fn adopt_newest(
    state: &Rc<SiteState>,
    peer_revisions: &mut watch::Receiver<PeerRevision>,
    port: u16,
) -> PeerRevision {
    let newest = *peer_revisions.borrow_and_update();
    let peer = SocketAddrV4::new(newest.peer, port);
    match fetch_snapshot(peer).await {
        Ok(snapshot) => {
            let (era, revision) = (snapshot.era, snapshot.revision);
            info!(%peer, era, revision, "configuration adopted from a peer");
            state.apply_snapshot(&snapshot);
        }
        Err(error) => warn!(%peer, %error, "configuration not fetched from a peer"),
    }
    newest
}

/// Reads the operator's entries in the store once. Gives up after a while when a balancer has a newer
/// configuration, as it is more likely to answer than a store that hasn't.
async fn read_config(
    state: &Rc<SiteState>,
    store: &StoreEndpoint,
    peer_revisions: &watch::Receiver<PeerRevision>,
) {
    let watcher = KeyWatcher::new(store.clone(), OPERATOR_PREFIX, peer_revisions.clone());
    let peer_revision = peer_revisions.borrow().revision;
    let handle = async |event| {
        state.apply_event(event, peer_revision);
        None
    };
    let mut newest = peer_revisions.clone();
    let give_up = async {
        if wait_for_newer(state, &mut newest).await.is_some() {
            sleep(READ_TIMEOUT).await;
        }
    };
    tokio::select! {
        () = watcher.run(handle) => {}
        () = give_up => info!("configuration not read from the store in time"),
    }
}

/// Waits until a peer has a newer configuration; returns `None` when the traffic thread has ended.
async fn wait_for_newer(
    state: &SiteState,
    peer_revisions: &mut watch::Receiver<PeerRevision>,
) -> Option<PeerRevision> {
    let newer = |peer_revision: &PeerRevision| peer_revision.revision > state.revision();
    let newest = peer_revisions.wait_for(newer).await;
    newest.map(|peer_revision| *peer_revision).ok()
}

/// Adopts the configuration of the first peer that has a snapshot, and returns its agents; `None`
/// if no peer has one.
pub(crate) async fn query_peers(
    state: &Rc<SiteState>,
    own: Ipv4Addr,
    peers: &[SocketAddrV4],
    port: u16,
) -> Option<Vec<AgentRecord>> {
    for peer in peers.iter().filter(|peer| *peer.ip() != own) {
        let peer = SocketAddrV4::new(*peer.ip(), port);
        match fetch_snapshot(peer).await {
            Ok(snapshot) => {
                info!(
                    %peer,
                    era = snapshot.era,
                    revision = snapshot.revision,
                    "configuration and agents adopted from a peer"
                );
                state.apply_snapshot(&snapshot);
                return Some(decode_agents(&snapshot));
            }
            Err(error) => info!(%peer, %error, "no snapshot fetched from a peer"),
        }
    }
    None
}
