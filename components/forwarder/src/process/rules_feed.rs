//! Configuration and evacuations, as the store tells them.

use std::sync::Arc;

use carobdrum_flows::version::SiteRules;
use carobdrum_platform::{
    read_operator,
    OperatorEntry,
    StoreChange,
    StoreItem, //
};
use compact_str::CompactString;
use tracing::{
    info,
    warn, //
};

use super::store_watch::KeyNews;

/// Configuration and evacuations that are in force.
#[derive(Debug, Default)]
pub(crate) struct RulesFeed {
    rules: Option<SiteRules>,
    /// Data centres that are taken out, with their keys.
    closed: Vec<(CompactString, CompactString)>,
    revision: u64,
}

impl RulesFeed {
    /// Returns the revision of the last change that is in force; zero if there is none.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Takes news; returns what is in force, if there is a configuration.
    ///
    /// A full list is at least as new as `seen`, the highest revision that other processes had
    /// shown before it was read.
    pub(crate) fn take(&mut self, news: KeyNews, seen: u64) -> Option<Arc<SiteRules>> {
        match news {
            KeyNews::All(items) => {
                self.closed.clear();
                self.revision = self.revision.max(seen);
                for item in items {
                    self.put(item);
                }
            }
            KeyNews::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.put(item),
                        StoreChange::Gone(key, revision) => self.remove(&key, revision),
                    }
                }
            }
        }
        self.in_force()
    }

    /// Takes the configuration and the evacuations of another process, if they are newer.
    pub(crate) fn take_rules(&mut self, rules: SiteRules) -> Option<Arc<SiteRules>> {
        if rules.revision <= self.revision {
            return None;
        }
        self.revision = rules.revision;
        let closed = rules.closed_centres().iter();
        self.closed = closed
            .map(|centre| (centre.clone(), centre.clone()))
            .collect();
        self.put_rules(rules);
        self.in_force()
    }

    fn in_force(&mut self) -> Option<Arc<SiteRules>> {
        let rules = self.rules.as_mut()?;
        rules.revision = self.revision;
        rules.close_centres(self.closed.iter().map(|(_, centre)| centre.clone()));
        Some(Arc::new(rules.clone()))
    }

    fn put(&mut self, item: StoreItem) {
        match read_operator(&item.key, &item.value) {
            Ok(OperatorEntry::Rules(rules)) => self.put_rules(rules),
            Ok(OperatorEntry::ClosedCentre(centre)) => {
                info!(%centre, revision = item.revision, "data centre taken out");
                self.closed.retain(|(key, _)| *key != item.key);
                self.closed.push((item.key, centre));
            }
            Ok(OperatorEntry::Other) => {}
            Err(error) => warn!(key = %item.key, %error, "operator's entry can't be read"),
        }
        self.revision = self.revision.max(item.revision);
    }

    fn remove(&mut self, key: &str, revision: u64) {
        info!(key, revision, "operator's key gone");
        self.closed.retain(|(closed, _)| closed != key);
        self.revision = self.revision.max(revision);
    }

    /// Takes a configuration, unless it is older than the one in force.
    fn put_rules(&mut self, rules: SiteRules) {
        let known = self.rules.as_ref().map_or(0, |rules| rules.version);
        if rules.version < known {
            warn!(
                version = rules.version,
                known, "older configuration left out"
            );
            return;
        }
        let routes = rules.routes().len();
        info!(
            version = rules.version,
            known, routes, "configuration in force"
        );
        self.rules = Some(rules);
    }
}
