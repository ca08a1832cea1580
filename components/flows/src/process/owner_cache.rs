//! Cache of flow owners at a balancer.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use hashbrown::HashMap;

use crate::request::FlowKey;

/// Limit of the cached owners; a missing one costs a hop.
const MAX_OWNERS: usize = 65_536;

/// Cache of the owners of flows that are not at their first candidate.
#[derive(Debug, Default)]
pub struct OwnerCache {
    owners: HashMap<FlowKey, (SocketAddrV4, Millis)>,
}

impl OwnerCache {
    /// Adds the owner of a flow, unless the cache is full.
    pub fn insert(&mut self, key: FlowKey, owner: SocketAddrV4, now: Millis) {
        if self.owners.len() < MAX_OWNERS {
            self.owners.insert(key, (owner, now));
        }
    }

    /// Returns the owner of a flow, and marks the entry as used at `now`.
    pub fn owner(&mut self, key: FlowKey, now: Millis) -> Option<SocketAddrV4> {
        let (owner, used) = self.owners.get_mut(&key)?;
        *used = now;
        Some(*owner)
    }

    /// Removes the entries that were not used for `idle_timeout`.
    pub fn expire(&mut self, now: Millis, idle_timeout: Millis) {
        self.owners
            .retain(|_, (_, used)| now.since(*used) < idle_timeout);
    }
}
