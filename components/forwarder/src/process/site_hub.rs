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
    rules_feed::RulesFeed,
    snapshot_codec::{
        read_agents,
        read_rules,
        write_snapshot, //
    },
    snapshot_port::fetch_snapshot,
    store_watch::{
        KeyFollower,
        KeyNews, //
    },
};
use crate::connection::RevisionSight;

/// Time that the store has to tell of a change before another process is asked. It is longer than
/// the pause between two watches, in which every process lags behind for a moment.
const LAG_TIME: Duration = Duration::from_millis(1_000);

/// The configuration as the traffic thread gets it.
pub(crate) type RulesSender = watch::Sender<Option<Arc<SiteConfig>>>;

/// The configuration in force and the agents that the store lists.
pub(crate) struct SiteHub {
    feed: RefCell<RulesFeed>,
    agents: RefCell<Vec<AgentRecord>>,
    rules: RulesSender,
}

impl SiteHub {
    /// Creates a hub that knows nothing.
    pub(crate) fn new(rules: RulesSender) -> Rc<SiteHub> {
        Rc::new(SiteHub {
            feed: RefCell::default(),
            agents: RefCell::default(),
            rules,
        })
    }

    /// Returns whether there is a configuration.
    pub(crate) fn has_rules(&self) -> bool {
        self.rules.borrow().is_some()
    }

    /// Returns the revision of the configuration in force; zero if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.feed.borrow().revision()
    }

    /// Returns what other processes are told, if there is anything.
    pub(crate) fn snapshot(&self) -> Option<SiteSnapshot> {
        let rules = self.rules.borrow().clone()?;
        Some(write_snapshot(&rules, &self.agents.borrow()))
    }

    /// Notes the agents that the store lists.
    pub(crate) fn set_agents(&self, change: impl FnOnce(&mut Vec<AgentRecord>)) {
        change(&mut self.agents.borrow_mut());
    }

    /// Takes news of the operator's keys; `seen` is the highest revision that other processes had
    /// shown before.
    fn take_news(&self, news: KeyNews, seen: u64) {
        let rules = self.feed.borrow_mut().take(news, seen);
        self.publish(rules);
    }

    /// Takes the configuration of another process, if it is newer.
    pub(crate) fn take_snapshot(&self, snapshot: &SiteSnapshot) {
        let rules = self.feed.borrow_mut().take_rules(read_rules(snapshot));
        self.publish(rules);
    }

    fn publish(&self, rules: Option<Arc<SiteConfig>>) {
        if rules.is_some() {
            self.rules.send_replace(rules);
        }
    }
}

/// Follows the operator's keys in the store.
pub(crate) async fn follow_rules(
    hub: Rc<SiteHub>,
    follower: KeyFollower,
    sights: watch::Receiver<RevisionSight>,
) {
    let take = async |news| {
        let seen = sights.borrow().revision;
        hub.take_news(news, seen);
        Some(hub.revision())
    };
    follower.run(take).await;
}

/// Fetches the configuration from a process that shows a newer one, when the store doesn't tell.
pub(crate) async fn follow_peers(
    hub: Rc<SiteHub>,
    mut sights: watch::Receiver<RevisionSight>,
    port: u16,
) {
    loop {
        let newer = |sight: &RevisionSight| sight.revision > hub.revision();
        let Ok(sight) = sights.wait_for(newer).await.map(|sight| *sight) else {
            return;
        };
        sleep(LAG_TIME).await;
        if hub.revision() >= sight.revision {
            continue;
        }
        let peer = SocketAddrV4::new(sight.peer, port);
        match fetch_snapshot(peer).await {
            Ok(snapshot) => {
                info!(%peer, revision = snapshot.revision, "configuration of another process taken");
                hub.take_snapshot(&snapshot);
            }
            Err(error) => warn!(%peer, %error, "configuration of another process not fetched"),
        }
    }
}

/// Asks other processes for the configuration and the agents, until both are known.
pub(crate) async fn ask_peers(
    hub: &SiteHub,
    own: Ipv4Addr,
    peers: &[SocketAddrV4],
    port: u16,
) -> Option<Vec<AgentRecord>> {
    for peer in peers.iter().filter(|peer| *peer.ip() != own) {
        let peer = SocketAddrV4::new(*peer.ip(), port);
        match fetch_snapshot(peer).await {
            Ok(snapshot) => {
                info!(%peer, revision = snapshot.revision, "started from another process");
                hub.take_snapshot(&snapshot);
                return Some(read_agents(&snapshot));
            }
            Err(error) => info!(%peer, %error, "another process has no snapshot"),
        }
    }
    None
}
