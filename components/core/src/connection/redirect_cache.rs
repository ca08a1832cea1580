//! Cache of the decisions about first packets.

use std::collections::VecDeque;

use super::FLOW_ID_LEN;
use crate::Millis;

/// How long a decision is kept: longer than a handshake that can still succeed is retransmitted.
const ENTRY_TTL: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct CachedDecision<K> {
    id: [u8; FLOW_ID_LEN],
    len: u8,
    target: K,
    at: Millis,
}

/// Bounded cache of where the first packet of each connection ID went.
///
/// Retransmissions and the other datagrams of a handshake follow the first one, even if the loads
/// have changed.
#[derive(Clone, Debug)]
pub struct RedirectCache<K> {
    capacity: usize,
    decisions: VecDeque<CachedDecision<K>>,
}

impl<K: Copy> RedirectCache<K> {
    /// Creates a cache of at most `capacity` connection IDs; the oldest is evicted for a new one.
    pub fn new(capacity: usize) -> RedirectCache<K> {
        RedirectCache {
            capacity,
            decisions: VecDeque::new(),
        }
    }

    /// Records that the flow with this connection ID goes to `target`.
    ///
    /// IDs of more than 20 bytes don't occur in QUIC version 1 and aren't cached.
    pub fn insert(&mut self, now: Millis, connection_id: &[u8], target: K) {
        self.remove_expired(now);
        let Some((id, len)) = pad(connection_id) else {
            return;
        };
        if self.capacity == 0 {
            return;
        }
        if self.decisions.len() >= self.capacity {
            self.decisions.pop_front();
        }
        self.decisions.push_back(CachedDecision {
            id,
            len,
            target,
            at: now,
        });
    }

    /// Returns where the flow with this connection ID goes, or `None` if no decision is cached.
    pub fn get(&self, now: Millis, connection_id: &[u8]) -> Option<K> {
        let (id, len) = pad(connection_id)?;
        let mut recent = self.decisions.iter().rev();
        let found = recent.find(|flow| flow.len == len && flow.id == id)?;
        (now.since(found.at) <= ENTRY_TTL).then_some(found.target)
    }

    /// Returns the number of cached connection IDs.
    pub fn len(&self) -> usize {
        self.decisions.len()
    }

    /// Returns whether no connection ID is cached.
    pub fn is_empty(&self) -> bool {
        self.decisions.is_empty()
    }

    fn remove_expired(&mut self, now: Millis) {
        let is_expired = |flow: &CachedDecision<K>| now.since(flow.at) > ENTRY_TTL;
        while self.decisions.front().is_some_and(is_expired) {
            self.decisions.pop_front();
        }
    }
}

fn pad(connection_id: &[u8]) -> Option<([u8; FLOW_ID_LEN], u8)> {
    let mut id = [0; FLOW_ID_LEN];
    id.get_mut(..connection_id.len())?
        .copy_from_slice(connection_id);
    Some((id, connection_id.len() as u8))
}
