//! Configuration and evacuations, from the store and from peers.

use std::sync::Arc;

use carobdrum_core::Millis;
use carobdrum_flows::version::{
    FormerServices,
    SiteConfig,
    StoreRevision, //
};
use carobdrum_platform::{
    parse_operator_entry,
    OperatorEntry,
    StoreChange,
    StoreItem,
    StoreListing, //
};
use tracing::{
    debug,
    info,
    warn, //
};

use super::{
    evacuation_state::{
        EvacuationEntry,
        EvacuationState, //
    },
    store_watch::KeyEvent, //
};
use crate::connection::revision_and_era;

/// Tracks the configuration and evacuations in force, and ignores stale events.
///
/// Revisions are compared by their order numbers, in which a later era of the store is newer than all of an earlier one.
/// The configuration follows the operator's version alone, which a store that comes back from an older copy can't turn
/// back.
///
/// It also remembers the services that routes led to before, for as long as flows that opened there
/// may live.
#[derive(Debug)]
pub struct ConfigTracker {
    /// Longest lifetime of a flow.
    flow_lifetime: Millis,
    former_services: FormerServices,
    /// Time from which `former_services` names every service that may hold an open flow.
    history_complete_at: Millis,
    config: Option<SiteConfig>,
    evacuations: EvacuationState,
    /// Order number of the last change that is in force.
    revision: u64,
    /// Order number of the last configuration adopted from a peer, which includes all changes up to it.
    adopted_revision: u64,
}

impl ConfigTracker {
    /// Creates a tracker without a configuration, for flows that live for at most `flow_lifetime`.
    pub fn new(flow_lifetime: Millis) -> ConfigTracker {
        ConfigTracker {
            flow_lifetime,
            former_services: FormerServices::default(),
            history_complete_at: Millis::default(),
            config: None,
            evacuations: EvacuationState::default(),
            revision: 0,
            adopted_revision: 0,
        }
    }

    /// Returns the order number of the last change that is in force; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the time at which the state in force changes without an event.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.evacuations.next_expiry()
    }

    /// Returns the configuration in force at time `now`, if there is one.
    pub fn refresh(&mut self, now: Millis) -> Option<Arc<SiteConfig>> {
        self.in_force(now)
    }

    /// Applies an event of the store at time `now`; returns the configuration in force, if there is
    /// one.
    ///
    /// `peer_revision` is the highest order number of another process. Events that are older than a
    /// configuration adopted from a peer are ignored: they may arrive late and would undo later
    /// changes.
    pub fn apply_event(
        &mut self,
        event: KeyEvent,
        peer_revision: u64,
        now: Millis,
    ) -> Option<Arc<SiteConfig>> {
        match event {
            KeyEvent::All(listing, _) => self.apply_listing(listing, peer_revision, now),
            KeyEvent::Changes(changes) => {
                for change in changes {
                    self.apply_change(change, now);
                }
            }
            KeyEvent::Failed => {}
        }
        self.in_force(now)
    }

    fn apply_listing(&mut self, listing: StoreListing, peer_revision: u64, now: Millis) {
        let revision = listing.revision;
        let (number, era) = revision_and_era(revision);
        if revision < self.adopted_revision {
            let (taken, taken_era) = revision_and_era(self.adopted_revision);
            info!(
                era,
                revision = number,
                taken,
                taken_era,
                "stale list ignored"
            );
            return;
        }
        let begins_era = self.begins_era(revision);
        if begins_era {
            info!(
                era,
                revision = number,
                "store has come back from an older copy"
            );
        }
        let known = self.version();
        let is_first = self.revision == 0;
        let evacuated = self.evacuations.in_force(now);
        let mut entries = Vec::new();
        for item in listing.items {
            entries.extend(self.read_item(item, now));
        }
        self.evacuations.replace(entries, begins_era, now);
        if self.version() != known {
            // The list shows the last version only, and there may have been others in between.
            self.history_complete_at = now.plus(self.flow_lifetime);
        }
        if !is_first && evacuated != self.evacuations.in_force(now) {
            // A deletion leaves no item whose revision would show the change to peers.
            self.revision = self.revision.max(revision);
        }
        // The list may have been read before the last change that peers have seen.
        self.revision = self.revision.max(peer_revision.min(revision));
        // What is in force is that of the new era now, also if no key was written in it yet.
        self.revision = self.revision.max(StoreRevision::stated(era, 0).order());
    }

    /// Returns whether this order number is of a later era than what is known, and so of a store that has come back from
    /// an older copy.
    fn begins_era(&self, revision: u64) -> bool {
        let known = StoreRevision::from_order(self.revision).era;
        known > 0 && StoreRevision::from_order(revision).era > known
    }

    fn apply_change(&mut self, change: StoreChange, now: Millis) {
        match change {
            StoreChange::Put(item) if item.revision > self.adopted_revision => {
                if let Some(entry) = self.read_item(item, now) {
                    self.evacuations.note_entry(entry);
                }
            }
            StoreChange::Deleted(key, revision) if revision > self.adopted_revision => {
                self.apply_deletion(&key, revision);
            }
            _ => debug!(
                ?change,
                taken = self.adopted_revision,
                "stale change ignored"
            ),
        }
    }

    /// Adopts the configuration and evacuations of a peer at time `now`, if they are newer; returns
    /// the configuration in force in that case, or if the peer knows more of earlier versions. A peer that has lived through
    /// a return of the store may know a later version alone.
    pub fn adopt_config(&mut self, config: SiteConfig, now: Millis) -> Option<Arc<SiteConfig>> {
        let learned = self.adopt_history(&config, now);
        if config.revision <= self.revision {
            let is_later = config.version > self.version();
            if is_later {
                self.replace_config(config, now);
            }
            return (learned || is_later).then(|| self.in_force(now)).flatten();
        }
        let begins_era = self.begins_era(config.revision);
        self.revision = config.revision;
        self.adopted_revision = config.revision;
        let evacuated = config.evacuated_centres();
        self.evacuations
            .adopt(evacuated, &config.provisional, begins_era, now);
        self.replace_config(config, now);
        self.in_force(now)
    }

    /// Adds what a peer knows of earlier versions; returns whether that was any news.
    fn adopt_history(&mut self, config: &SiteConfig, now: Millis) -> bool {
        let latest = now.plus(self.flow_lifetime);
        let before = self.former_services.clone();
        for former in config.former_services.entries() {
            let mut former = former.clone();
            former.until = former.until.min(latest);
            self.former_services.insert(former);
        }
        // The peer has seen every version up to its own, but perhaps not those after it.
        let has_all = config.version >= self.version();
        let complete_at = config.history_complete_at.min(latest);
        let is_sooner = complete_at < self.history_complete_at || self.config.is_none();
        if has_all && (is_sooner || config.version > self.version()) {
            self.history_complete_at = complete_at;
        }
        self.former_services != before || (has_all && is_sooner)
    }

    fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    fn in_force(&mut self, now: Millis) -> Option<Arc<SiteConfig>> {
        self.former_services.expire(now);
        let evacuated = self.evacuations.in_force(now);
        let config = self.config.as_mut()?;
        config.former_services = self.former_services.clone();
        config.history_complete_at = self.history_complete_at;
        config.revision = self.revision;
        config.set_evacuated_centres(evacuated);
        config.provisional = self.evacuations.provisional().to_vec();
        Some(Arc::new(config.clone()))
    }

    /// Applies an item of the operator, unless it evacuates a data centre; returns it in that case.
    fn read_item(&mut self, item: StoreItem, now: Millis) -> Option<EvacuationEntry> {
        self.revision = self.revision.max(item.revision);
        match parse_operator_entry(&item.key, &item.value) {
            Ok(OperatorEntry::Config(config)) => self.replace_config(config, now),
            Ok(OperatorEntry::EvacuatedCentre(centre)) => {
                let (revision, era) = revision_and_era(item.revision);
                info!(%centre, era, revision, "data centre evacuated");
                return Some(EvacuationEntry {
                    centre,
                    revision: Some(item.revision),
                });
            }
            Ok(OperatorEntry::Other) => {}
            Err(error) => warn!(key = %item.key, %error, "operator's entry is malformed"),
        }
        None
    }

    fn apply_deletion(&mut self, key: &str, revision: u64) {
        let (number, era) = revision_and_era(revision);
        info!(key, era, revision = number, "operator's entry deleted");
        self.evacuations.note_deletion(key);
        self.revision = self.revision.max(revision);
    }

    /// Replaces the configuration, unless the new one has an older version.
    fn replace_config(&mut self, config: SiteConfig, now: Millis) {
        let known = self.version();
        if config.version < known {
            warn!(
                version = config.version,
                known, "configuration of an older version ignored"
            );
            return;
        }
        let routes = config.routes().len();
        if let Some(before) = &self.config {
            let until = now.plus(self.flow_lifetime);
            self.former_services.record_change(before, &config, until);
        }
        info!(
            version = config.version,
            known,
            routes,
            former = self.former_services.entries().len(),
            "configuration in force"
        );
        self.config = Some(config);
    }
}
