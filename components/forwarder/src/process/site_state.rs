//! State of the site as the control thread knows it.

use std::{
    cell::RefCell,
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::SiteConfig, //
};
use carobdrum_wire::snapshot::SiteSnapshot;
use tokio::{
    sync::watch,
    time::sleep, //
};
use tracing::{
    info,
    warn, //
};

use super::{
    boot_clock::BootClock,
    config_tracker::ConfigTracker,
    snapshot_codec::{
        decode_agents,
        decode_config,
        encode_snapshot, //
    },
    snapshot_port::fetch_snapshot,
    store_watch::{
        KeyEvent, //
        KeyWatcher,
    },
};
use crate::connection::PeerRevision;

/// Time for which the store may lag behind a peer before the configuration is fetched from that
/// peer. It exceeds the delay between two watches, in which every process may lag behind briefly.
const LAG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Publishes the configuration in force to the traffic thread.
pub(crate) type ConfigSender = watch::Sender<Option<Arc<SiteConfig>>>;

/// Configuration in force and agents that the store lists.
pub(crate) struct SiteState {
    tracker: RefCell<ConfigTracker>,
    agents: RefCell<Vec<AgentRecord>>,
    config: ConfigSender,
}

impl SiteState {
    /// Creates the state of a process that has read nothing yet.
    ///
    /// `flow_lifetime` is the longest lifetime of a flow.
    pub(crate) fn new(config: ConfigSender, flow_lifetime: Millis) -> Rc<SiteState> {
        Rc::new(SiteState {
            tracker: RefCell::new(ConfigTracker::new(flow_lifetime)),
            agents: RefCell::default(),
            config,
        })
    }

    /// Returns whether there is a configuration.
    pub(crate) fn has_config(&self) -> bool {
        self.config.borrow().is_some()
    }

    /// Returns the revision of the configuration in force; zero if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.tracker.borrow().revision()
    }

    /// Returns the snapshot for peers; `None` without a configuration.
    pub(crate) fn snapshot(&self) -> Option<SiteSnapshot> {
        let config = self.config.borrow().clone()?;
        let agents = self.agents.borrow();
        Some(encode_snapshot(&config, &agents, BootClock.now()))
    }

    /// Applies a change of the agents in the store.
    pub(crate) fn update_agents(&self, change: impl FnOnce(&mut Vec<AgentRecord>)) {
        change(&mut self.agents.borrow_mut());
    }

    /// Applies an event of the operator's keys; `peer_revision` is the highest revision of another
    /// process before the event.
    fn apply_event(&self, event: KeyEvent, peer_revision: u64) {
        let config = self
            .tracker
            .borrow_mut()
            .apply_event(event, peer_revision, BootClock.now());
        self.publish(config);
    }

    /// Adopts the configuration of a peer, if it is newer.
    pub(crate) fn apply_snapshot(&self, snapshot: &SiteSnapshot) {
        let now = BootClock.now();
        let config = self
            .tracker
            .borrow_mut()
            .adopt_config(decode_config(snapshot, now), now);
        self.publish(config);
    }

    fn publish(&self, config: Option<Arc<SiteConfig>>) {
        if config.is_some() {
            self.config.send_replace(config);
        }
    }
}

/// Applies the operator's entries in the store and their changes.
pub(crate) async fn follow_config(
    state: Rc<SiteState>,
    watcher: KeyWatcher,
    peer_revisions: watch::Receiver<PeerRevision>,
) {
    let handle = async |event| {
        let peer_revision = peer_revisions.borrow().revision;
        state.apply_event(event, peer_revision);
        Some(state.revision())
    };
    watcher.run(handle).await;
}

/// Fetches the configuration from a peer that has a newer one, if the store doesn't deliver it in
/// time.
pub(crate) async fn follow_peers(
    state: Rc<SiteState>,
    mut peer_revisions: watch::Receiver<PeerRevision>,
    port: u16,
) {
    loop {
        let newer = |peer_revision: &PeerRevision| peer_revision.revision > state.revision();
        let Ok(peer_revision) = peer_revisions
            .wait_for(newer)
            .await
            .map(|peer_revision| *peer_revision)
        else {
            return;
        };
        sleep(LAG_TIMEOUT).await;
        if state.revision() >= peer_revision.revision {
            continue;
        }
        let peer = SocketAddrV4::new(peer_revision.peer, port);
        match fetch_snapshot(peer).await {
            Ok(snapshot) => {
                info!(%peer, revision = snapshot.revision, "configuration adopted from a peer");
                state.apply_snapshot(&snapshot);
            }
            Err(error) => warn!(%peer, %error, "configuration not fetched from a peer"),
        }
    }
}

/// Adopts the configuration of the first peer that has a snapshot, and returns its agents; `None`
/// if no peer has one.
pub(crate) async fn query_peers(
    state: &SiteState,
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
