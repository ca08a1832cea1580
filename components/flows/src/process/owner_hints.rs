//! Owners that balancers were told of.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use hashbrown::HashMap;

use crate::request::FlowKey;

/// Most hints that are kept; a lost hint costs a hop.
const MAX_HINTS: usize = 65_536;

/// Owners of flows that are not at their first candidate.
#[derive(Debug, Default)]
pub struct OwnerHints {
    hints: HashMap<FlowKey, (SocketAddrV4, Millis)>,
}

impl OwnerHints {
    /// Notes the owner of a flow.
    pub fn insert(&mut self, key: FlowKey, owner: SocketAddrV4, now: Millis) {
        if self.hints.len() < MAX_HINTS {
            self.hints.insert(key, (owner, now));
        }
    }

    /// Returns the owner of a flow, and keeps the hint for as long as the flow is in use.
    pub fn owner(&mut self, key: FlowKey, now: Millis) -> Option<SocketAddrV4> {
        let (owner, used) = self.hints.get_mut(&key)?;
        *used = now;
        Some(*owner)
    }

    /// Forgets the hints that were not used for `idle_time`.
    pub fn expire(&mut self, now: Millis, idle_time: Millis) {
        self.hints
            .retain(|_, (_, used)| now.since(*used) < idle_time);
    }
}
