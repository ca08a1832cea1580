//! Configuration and evacuations, as the store tells them.

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

/// A data centre that is taken out.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EvacuatedCentre {
    /// Key of the operator that takes it out.
    key: CompactString,
    centre: CompactString,
}

/// Configuration and evacuations that are in force.
#[derive(Debug, Default)]
pub struct ConfigTracker {
    config: Option<SiteConfig>,
    closed: Vec<EvacuatedCentre>,
    revision: u64,
    /// Revision of the last state taken from another process, which has all changes up to it.
    taken: u64,
}

impl ConfigTracker {
    /// Returns the revision of the last change that is in force; zero if there is none.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes news; returns what is in force, if there is a configuration.
    ///
    /// `seen` is the highest revision that other processes have shown. News that are older than
    /// what another process has told are left out: they may come late, and would put back what has
    /// changed since.
    pub fn take(&mut self, news: KeyEvent, seen: u64) -> Option<Arc<SiteConfig>> {
        match news {
            KeyEvent::All(listing) => self.apply_listing(listing, seen),
            KeyEvent::Changes(changes) => {
                for change in changes {
                    self.apply_change(change);
                }
            }
        }
        self.in_force()
    }

    fn apply_listing(&mut self, listing: StoreListing, seen: u64) {
        let revision = listing.revision;
        if revision < self.taken {
            info!(revision, taken = self.taken, "older list left out");
            return;
        }
        self.closed.clear();
        for item in listing.items {
            self.put(item);
        }
        // The list may have been read before the others saw the last change.
        self.revision = self.revision.max(seen.min(revision));
    }

    fn apply_change(&mut self, change: StoreChange) {
        match change {
            StoreChange::Put(item) if item.revision > self.taken => self.put(item),
            StoreChange::Deleted(key, revision) if revision > self.taken => {
                self.remove(&key, revision);
            }
            _ => debug!(?change, taken = self.taken, "older change left out"),
        }
    }

    /// Takes the configuration and the evacuations of another process, if they are newer.
    pub fn apply_config(&mut self, config: SiteConfig) -> Option<Arc<SiteConfig>> {
        if config.revision <= self.revision {
            return None;
        }
        self.revision = config.revision;
        self.taken = config.revision;
        let closed = config.evacuated_centres().iter();
        self.closed = closed
            .map(|centre| EvacuatedCentre {
                key: evacuation_key(centre),
                centre: centre.clone(),
            })
            .collect();
        self.put_config(config);
        self.in_force()
    }

    fn in_force(&mut self) -> Option<Arc<SiteConfig>> {
        let config = self.config.as_mut()?;
        config.revision = self.revision;
        let closed = self.closed.iter();
        config.set_evacuated_centres(closed.map(|closed| closed.centre.clone()));
        Some(Arc::new(config.clone()))
    }

    fn put(&mut self, item: StoreItem) {
        match parse_operator_entry(&item.key, &item.value) {
            Ok(OperatorEntry::Config(config)) => self.put_config(config),
            Ok(OperatorEntry::EvacuatedCentre(centre)) => {
                info!(%centre, revision = item.revision, "data centre taken out");
                self.closed.retain(|closed| closed.key != item.key);
                let key = item.key;
                self.closed.push(EvacuatedCentre { key, centre });
            }
            Ok(OperatorEntry::Other) => {}
            Err(error) => warn!(key = %item.key, %error, "operator's entry can't be read"),
        }
        self.revision = self.revision.max(item.revision);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        info!(key, revision, "operator's key gone");
        self.closed.retain(|closed| closed.key != key);
        self.revision = self.revision.max(revision);
    }

    /// Takes a configuration, unless it is older than the one in force.
    fn put_config(&mut self, config: SiteConfig) {
        let known = self.config.as_ref().map_or(0, |config| config.version);
        if config.version < known {
            warn!(
                version = config.version,
                known, "older configuration left out"
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
