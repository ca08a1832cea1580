//! State of the site as the control thread knows it.

use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::SiteConfig, //
};
use carobdrum_wire::snapshot::SiteSnapshot;
use tokio::sync::watch;

use super::{
    boot_clock::BootClock,
    config_tracker::ConfigTracker,
    snapshot_codec::{
        decode_config,
        encode_snapshot, //
    },
    store_watch::KeyEvent, //
};

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

    /// Returns the number of agents that the store lists.
    pub(crate) fn agent_count(&self) -> usize {
        self.agents.borrow().len()
    }

    /// Applies an event of the operator's keys; `peer_revision` is the highest revision of another
    /// process before the event.
    pub(crate) fn apply_event(&self, event: KeyEvent, peer_revision: u64) {
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
