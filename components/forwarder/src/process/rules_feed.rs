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
}

impl RulesFeed {
    /// Takes news; returns what is in force if it changed.
    pub(crate) fn take(&mut self, news: KeyNews) -> Option<Arc<SiteRules>> {
        match news {
            KeyNews::All(items) => {
                self.closed.clear();
                for item in items {
                    self.put(item);
                }
            }
            KeyNews::Changes(changes) => {
                for change in changes {
                    match change {
                        StoreChange::Put(item) => self.put(item),
                        StoreChange::Gone(key, revision) => {
                            info!(%key, revision, "operator's key gone");
                            self.closed.retain(|(closed, _)| *closed != key);
                        }
                    }
                }
            }
        }
        let rules = self.rules.as_mut()?;
        rules.close_centres(self.closed.iter().map(|(_, centre)| centre.clone()));
        Some(Arc::new(rules.clone()))
    }

    /// Returns the version of the configuration in force; zero if there is none.
    pub(crate) fn version(&self) -> u64 {
        self.rules.as_ref().map_or(0, |rules| rules.version)
    }

    fn put(&mut self, item: StoreItem) {
        match read_operator(&item.key, &item.value) {
            Ok(OperatorEntry::Rules(rules)) => self.put_rules(rules, item.revision),
            Ok(OperatorEntry::ClosedCentre(centre)) => {
                info!(%centre, revision = item.revision, "data centre taken out");
                self.closed.push((item.key, centre));
            }
            Ok(OperatorEntry::Other) => {}
            Err(error) => warn!(key = %item.key, %error, "operator's entry can't be read"),
        }
    }

    /// Takes a configuration, unless it is older than the one in force.
    fn put_rules(&mut self, rules: SiteRules, revision: u64) {
        let known = self.version();
        if rules.version < known {
            warn!(
                version = rules.version,
                known, revision, "older configuration left out"
            );
            return;
        }
        let routes = rules.route_count();
        info!(
            version = rules.version,
            routes, revision, "configuration in force"
        );
        self.rules = Some(rules);
    }
}
