//! Configuration and evacuations, from the store and from peers.

use std::sync::Arc;

use carobdrum_flows::version::SiteConfig;
use carobdrum_platform::{
    evacuation_key,
    parse_operator_entry,
    OperatorEntry,
    StoreChange,
    StoreItem,
    StoreListing, //
};
use compact_str::CompactString;
use tracing::{
    debug,
    info,
    warn, //
};

use super::store_watch::KeyEvent;

/// An evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EvacuatedCentre {
    /// Key of the operator's entry that evacuates it.
    key: CompactString,
    centre: CompactString,
}

/// Tracks the configuration and evacuations in force, and ignores stale events.
#[derive(Debug, Default)]
pub struct ConfigTracker {
    config: Option<SiteConfig>,
    evacuated: Vec<EvacuatedCentre>,
    revision: u64,
    /// Revision of the last configuration adopted from a peer, which includes all changes up to it.
    adopted_revision: u64,
}

impl ConfigTracker {
    /// Returns the revision of the last change that is in force; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an event of the store; returns the configuration in force, if there is one.
    ///
    /// `peer_revision` is the highest revision of another process. Events that are older than a
    /// configuration adopted from a peer are ignored: they may arrive late and would undo later
    /// changes.
    pub fn apply_event(&mut self, event: KeyEvent, peer_revision: u64) -> Option<Arc<SiteConfig>> {
        match event {
            KeyEvent::All(listing) => self.apply_listing(listing, peer_revision),
            KeyEvent::Changes(changes) => {
                for change in changes {
                    self.apply_change(change);
                }
            }
        }
        self.in_force()
    }

    fn apply_listing(&mut self, listing: StoreListing, peer_revision: u64) {
        let revision = listing.revision;
        if revision < self.adopted_revision {
            info!(
                revision,
                taken = self.adopted_revision,
                "stale list ignored"
            );
            return;
        }
        self.evacuated.clear();
        for item in listing.items {
            self.apply_item(item);
        }
        // The list may have been read before the last change that peers have seen.
        self.revision = self.revision.max(peer_revision.min(revision));
    }

    fn apply_change(&mut self, change: StoreChange) {
        match change {
            StoreChange::Put(item) if item.revision > self.adopted_revision => {
                self.apply_item(item)
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

    /// Adopts the configuration and evacuations of a peer, if they are newer; returns the
    /// configuration in force in that case.
    pub fn adopt_config(&mut self, config: SiteConfig) -> Option<Arc<SiteConfig>> {
        if config.revision <= self.revision {
            return None;
        }
        self.revision = config.revision;
        self.adopted_revision = config.revision;
        let evacuated = config.evacuated_centres().iter();
        self.evacuated = evacuated
            .map(|centre| EvacuatedCentre {
                key: evacuation_key(centre),
                centre: centre.clone(),
            })
            .collect();
        self.replace_config(config);
        self.in_force()
    }

    fn in_force(&mut self) -> Option<Arc<SiteConfig>> {
        let config = self.config.as_mut()?;
        config.revision = self.revision;
        let evacuated = self.evacuated.iter();
        config.set_evacuated_centres(evacuated.map(|evacuated| evacuated.centre.clone()));
        Some(Arc::new(config.clone()))
    }

    fn apply_item(&mut self, item: StoreItem) {
        match parse_operator_entry(&item.key, &item.value) {
            Ok(OperatorEntry::Config(config)) => self.replace_config(config),
            Ok(OperatorEntry::EvacuatedCentre(centre)) => {
                info!(%centre, revision = item.revision, "data centre evacuated");
                self.evacuated.retain(|evacuated| evacuated.key != item.key);
                let key = item.key;
                self.evacuated.push(EvacuatedCentre { key, centre });
            }
            Ok(OperatorEntry::Other) => {}
            Err(error) => warn!(key = %item.key, %error, "operator's entry is malformed"),
        }
        self.revision = self.revision.max(item.revision);
    }

    fn apply_deletion(&mut self, key: &str, revision: u64) {
        info!(key, revision, "operator's entry deleted");
        self.evacuated.retain(|evacuated| evacuated.key != key);
        self.revision = self.revision.max(revision);
    }

    /// Replaces the configuration, unless the new one has an older version.
    fn replace_config(&mut self, config: SiteConfig) {
        let known = self.config.as_ref().map_or(0, |config| config.version);
        if config.version < known {
            warn!(
                version = config.version,
                known, "configuration of an older version ignored"
            );
            return;
        }
        let routes = config.routes().len();
        info!(
            version = config.version,
            known, routes, "configuration in force"
        );
        self.config = Some(config);
    }
}
