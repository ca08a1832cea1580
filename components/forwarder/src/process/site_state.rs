//! State of the site as the control thread knows it.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::AgentRecord,
    version::SiteConfig, //
};
use carobdrum_platform::StoreEra;
use carobdrum_wire::snapshot::SiteSnapshot;
use tokio::{
    sync::watch,
    time::sleep, //
};

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
    /// Shows revisions of other processes in their order.
    era: Arc<StoreEra>,
    /// Time of the next change of the state in force without an event, for which a task waits.
    next_refresh: Cell<Option<Millis>>,
    agents: RefCell<Vec<AgentRecord>>,
    config: ConfigSender,
}

impl SiteState {
    /// Creates the state of a process that has read nothing yet.
    ///
    /// `flow_lifetime` is the longest lifetime of a flow.
    pub(crate) fn new(
        config: ConfigSender,
        era: Arc<StoreEra>,
        flow_lifetime: Millis,
    ) -> Rc<SiteState> {
        Rc::new(SiteState {
            tracker: RefCell::new(ConfigTracker::new(flow_lifetime)),
            era,
            next_refresh: Cell::default(),
            agents: RefCell::default(),
            config,
        })
    }

    /// Returns whether there is a configuration.
    pub(crate) fn has_config(&self) -> bool {
        self.config.borrow().is_some()
    }

    /// Returns the order number of the configuration in force; zero if there is none.
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

    /// Applies an event of the operator's keys; `peer_revision` is the highest order number of another
    /// process before the event.
    pub(crate) fn apply_event(self: &Rc<SiteState>, event: KeyEvent, peer_revision: u64) {
        let config = self
            .tracker
            .borrow_mut()
            .apply_event(event, peer_revision, BootClock.now());
        self.publish(config);
    }

    /// Adopts the configuration of a peer, if it is newer.
    pub(crate) fn apply_snapshot(self: &Rc<SiteState>, snapshot: &SiteSnapshot) {
        let now = BootClock.now();
        let revision = self.snapshot_revision(snapshot);
        let config = self
            .tracker
            .borrow_mut()
            .adopt_config(decode_config(snapshot, revision, now), now);
        self.publish(config);
    }

    /// Returns the order number of a peer's snapshot.
    fn snapshot_revision(&self, snapshot: &SiteSnapshot) -> u64 {
        if let Some(era) = snapshot.era {
            self.era.note_peer(era);
        }
        self.era.order(snapshot.era, snapshot.revision)
    }

    fn publish(self: &Rc<SiteState>, config: Option<Arc<SiteConfig>>) {
        if config.is_some() {
            self.config.send_replace(config);
        }
        self.schedule_refresh();
    }

    /// Publishes the configuration again when a state ends that holds for a time only.
    fn schedule_refresh(self: &Rc<SiteState>) {
        let next = self.tracker.borrow().next_expiry();
        if next.is_none() || next == self.next_refresh.replace(next) {
            return;
        }
        let state = self.clone();
        let wait = next.map_or(Millis(0), |next| next.since(BootClock.now()));
        tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(wait.0)).await;
            if state.next_refresh.get() == next {
                state.next_refresh.set(None);
                let config = state.tracker.borrow_mut().refresh(BootClock.now());
                state.publish(config);
            }
        });
    }
}
