//! Memory of first packets that were passed to the second candidate.

use std::collections::VecDeque;

use super::FLOW_ID_LEN;
use crate::Millis;

/// Time for which a passed connection ID is remembered; longer than the retransmits of a handshake
/// that still has a chance.
const MAX_AGE: Millis = Millis(10_000);

#[derive(Clone, Debug)]
struct PassedFlow<K> {
    id: [u8; FLOW_ID_LEN],
    len: u8,
    to: K,
    at: Millis,
}

/// Bounded ring of passed connection IDs and where each went.
///
/// Retransmits and the other datagrams of a handshake follow the first one, whatever the loads are
/// by then.
#[derive(Clone, Debug)]
pub struct RedirectCache<K> {
    capacity: usize,
    flows: VecDeque<PassedFlow<K>>,
}

impl<K: Copy> RedirectCache<K> {
    /// Creates a ring of at most `capacity` connection IDs.
    pub fn new(capacity: usize) -> RedirectCache<K> {
        RedirectCache {
            capacity,
            flows: VecDeque::new(),
        }
    }

    /// Remembers that the flow with this connection ID was passed to `to`.
    ///
    /// IDs of more than 20 bytes don't occur in QUIC version 1 and aren't remembered.
    pub fn insert(&mut self, now: Millis, connection_id: &[u8], to: K) {
        self.forget_aged(now);
        let Some((id, len)) = pad(connection_id) else {
            return;
        };
        if self.capacity == 0 {
            return;
        }
        if self.flows.len() >= self.capacity {
            self.flows.pop_front();
        }
        self.flows.push_back(PassedFlow {
            id,
            len,
            to,
            at: now,
        });
    }

    /// Returns where the flow with this connection ID was passed to.
    pub fn get(&self, now: Millis, connection_id: &[u8]) -> Option<K> {
        let (id, len) = pad(connection_id)?;
        let mut recent = self.flows.iter().rev();
        let found = recent.find(|flow| flow.len == len && flow.id == id)?;
        (now.since(found.at) <= MAX_AGE).then_some(found.to)
    }

    /// Returns the number of remembered connection IDs.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no connection ID is remembered.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    fn forget_aged(&mut self, now: Millis) {
        let is_aged = |flow: &PassedFlow<K>| now.since(flow.at) > MAX_AGE;
        while self.flows.front().is_some_and(is_aged) {
            self.flows.pop_front();
        }
    }
}

fn pad(connection_id: &[u8]) -> Option<([u8; FLOW_ID_LEN], u8)> {
    let mut id = [0; FLOW_ID_LEN];
    id.get_mut(..connection_id.len())?
        .copy_from_slice(connection_id);
    Some((id, connection_id.len() as u8))
}
