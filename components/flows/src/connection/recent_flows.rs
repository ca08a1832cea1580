//! Flows without an open entry that a server may still hold.

use carobdrum_core::Millis;
use hashbrown::HashMap;

use crate::request::FlowKey;

/// Limit of the flows. Beyond it, every flow counts as one that the server may hold.
const MAX_FLOWS: usize = 65_536;

/// Flows that the server may still hold although the agent has no entry for them or one that says
/// otherwise: the entry has expired or was replaced, or the server has sent a packet of the flow since.
///
/// They matter only for the answer whether a flow is lost, for which a missing entry isn't enough.
#[derive(Debug, Default)]
pub struct RecentFlows {
    flows: HashMap<FlowKey, Millis>,
    /// Last time at which a flow may have been left out.
    incomplete_at: Option<Millis>,
}

impl RecentFlows {
    /// Records that the server may hold a flow that was last used at `used`.
    pub fn insert(&mut self, key: FlowKey, used: Millis) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(&key) {
            self.flows.insert(key, used);
        } else {
            self.note_gap(used);
        }
    }

    /// Records that flows up to `now` may be missing.
    pub fn note_gap(&mut self, now: Millis) {
        self.incomplete_at = self.incomplete_at.max(Some(now));
    }

    /// Removes a flow that the server has shown not to hold.
    pub fn remove(&mut self, key: FlowKey) {
        self.flows.remove(&key);
    }

    /// Removes all flows, since their server has ended.
    pub fn clear(&mut self) {
        self.flows.clear();
        self.incomplete_at = None;
    }

    /// Returns whether the server may hold a flow at `now`; flows live no longer than `flow_lifetime`.
    pub fn may_hold(&self, key: FlowKey, flow_lifetime: Millis, now: Millis) -> bool {
        let is_recent = |used: Millis| now.since(used) <= flow_lifetime;
        let used = self.flows.get(&key).copied();
        used.is_some_and(is_recent) || self.incomplete_at.is_some_and(is_recent)
    }

    /// Removes the flows that have reached their longest lifetime.
    pub fn expire(&mut self, now: Millis, flow_lifetime: Millis) {
        self.flows
            .retain(|_, used| now.since(*used) <= flow_lifetime);
    }
}
