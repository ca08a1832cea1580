//! Services that routes led to before, whose flows may still be open.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use compact_str::CompactString;

use super::{
    FlowRoute,
    SiteConfig, //
};

/// Limit of the entries. Each one stands for a service that left a route within the lifetime of a
/// flow; the entries that end last are kept.
const MAX_ENTRIES: usize = 4_096;

/// A service that a route led to before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormerService {
    /// Address of the route.
    pub address: SocketAddrV4,
    /// Name of the service.
    pub service: CompactString,
    /// Time at which the last flow that may have opened there has reached its longest lifetime.
    pub until: Millis,
}

/// Services that routes led to before, sorted by address and service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FormerServices {
    entries: Vec<FormerService>,
}

impl FormerServices {
    /// Adds the services that routes of `before` led to and that their routes in `after` don't
    /// name. A route that `after` lacks counts as well, since it may be added again.
    pub fn record_change(&mut self, before: &SiteConfig, after: &SiteConfig, until: Millis) {
        for route in before.routes() {
            let successor = after.route(route.address);
            let names = |service: &CompactString| {
                successor.is_some_and(|route: &FlowRoute| {
                    route.shares.iter().any(|share| share.service == *service)
                })
            };
            for share in &route.shares {
                if !names(&share.service) {
                    self.insert(FormerService {
                        address: route.address,
                        service: share.service.clone(),
                        until,
                    });
                }
            }
        }
    }

    /// Adds an entry, or prolongs the one that exists.
    pub fn insert(&mut self, former: FormerService) {
        match self.find(former.address, &former.service) {
            Ok(index) => {
                let entry = &mut self.entries[index];
                entry.until = entry.until.max(former.until);
            }
            Err(index) => self.entries.insert(index, former),
        }
    }

    /// Removes the entries that have ended, and those that end first while there are too many.
    pub fn expire(&mut self, now: Millis) {
        self.entries.retain(|entry| entry.until > now);
        let excess = self.entries.len().saturating_sub(MAX_ENTRIES);
        if excess > 0 {
            let mut ends: Vec<Millis> = self.entries.iter().map(|entry| entry.until).collect();
            ends.sort_unstable();
            let first_kept = ends[excess];
            self.entries.retain(|entry| entry.until >= first_kept);
            self.entries.truncate(MAX_ENTRIES);
        }
    }

    /// Returns the services that the route of `address` led to before and whose flows may be open
    /// at `now`.
    pub fn services(
        &self,
        address: SocketAddrV4,
        now: Millis,
    ) -> impl Iterator<Item = &CompactString> {
        let start = self
            .entries
            .partition_point(|entry| entry.address < address);
        self.entries[start..]
            .iter()
            .take_while(move |entry| entry.address == address)
            .filter(move |entry| entry.until > now)
            .map(|entry| &entry.service)
    }

    /// Returns all entries, sorted by address and service.
    pub fn entries(&self) -> &[FormerService] {
        &self.entries
    }

    fn find(&self, address: SocketAddrV4, service: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| {
            let by_address = entry.address.cmp(&address);
            by_address.then_with(|| entry.service.as_str().cmp(service))
        })
    }
}
