//! What the control thread knows of the site.

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

/// Time that the store has to tell of a change before another process is asked. It is longer than
/// the pause between two watches, in which every process lags behind for a moment.
const LAG_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The configuration as the traffic thread gets it.
pub(crate) type ConfigSender = watch::Sender<Option<Arc<SiteConfig>>>;

/// The configuration in force and the agents that the store lists.
pub(crate) struct SiteState {
    tracker: RefCell<ConfigTracker>,
    agents: RefCell<Vec<AgentRecord>>,
    config: ConfigSender,
}

impl SiteState {
    /// Creates a hub that knows nothing.
    pub(crate) fn new(config: ConfigSender) -> Rc<SiteState> {
        Rc::new(SiteState {
            tracker: RefCell::default(),
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

    /// Returns what other processes are told, if there is anything.
    pub(crate) fn snapshot(&self) -> Option<SiteSnapshot> {
        let config = self.config.borrow().clone()?;
        Some(encode_snapshot(&config, &self.agents.borrow()))
    }

    /// Notes the agents that the store lists.
    pub(crate) fn update_agents(&self, change: impl FnOnce(&mut Vec<AgentRecord>)) {
        change(&mut self.agents.borrow_mut());
    }

    /// Takes news of the operator's keys; `seen` is the highest revision that other processes had
    /// shown before.
    fn apply_event(&self, news: KeyEvent, seen: u64) {
        let config = self.tracker.borrow_mut().take(news, seen);
        self.publish(config);
    }

    /// Takes the configuration of another process, if it is newer.
    pub(crate) fn apply_snapshot(&self, snapshot: &SiteSnapshot) {
        let config = self
            .tracker
            .borrow_mut()
            .apply_config(decode_config(snapshot));
        self.publish(config);
    }

    fn publish(&self, config: Option<Arc<SiteConfig>>) {
        if config.is_some() {
            self.config.send_replace(config);
        }
    }
}

/// Follows the operator's keys in the store.
pub(crate) async fn follow_config(
    state: Rc<SiteState>,
    watcher: KeyWatcher,
    peer_revisions: watch::Receiver<PeerRevision>,
) {
    let take = async |news| {
        let seen = peer_revisions.borrow().revision;
        state.apply_event(news, seen);
        Some(state.revision())
    };
    watcher.run(take).await;
}

/// Fetches the configuration from a process that shows a newer one, when the store doesn't tell.
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
                info!(%peer, revision = snapshot.revision, "configuration of another process taken");
                state.apply_snapshot(&snapshot);
            }
            Err(error) => warn!(%peer, %error, "configuration of another process not fetched"),
        }
    }
}

/// Asks other processes for the configuration and the agents, until both are known.
pub(crate) async fn ask_peers(
    state: &SiteState,
    own: Ipv4Addr,
    peers: &[SocketAddrV4],
    port: u16,
) -> Option<Vec<AgentRecord>> {
    for peer in peers.iter().filter(|peer| *peer.ip() != own) {
        let peer = SocketAddrV4::new(*peer.ip(), port);
        match fetch_snapshot(peer).await {
            Ok(snapshot) => {
                info!(%peer, revision = snapshot.revision, "started from another process");
                state.apply_snapshot(&snapshot);
                return Some(decode_agents(&snapshot));
            }
            Err(error) => info!(%peer, %error, "another process has no snapshot"),
        }
    }
    None
}
