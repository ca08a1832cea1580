//! Agents whose heartbeats a balancer expects.

use std::net::SocketAddrV4;

use super::stable_hash::address_to_number;
use crate::Millis;

/// Silence after which an agent is probed directly: one lost heartbeat and its repetition.
pub const HEARTBEAT_PATIENCE: Millis = Millis(3_000);

/// Silence after which an agent that belongs to other balancers is forgotten.
const FOREIGN_PATIENCE: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
struct WatchEntry {
    number: u64,
    agent: SocketAddrV4,
    heard: Millis,
    probed: Millis,
    version: u32,
    ours: bool,
}

/// When each agent was last heard, and which version it had then.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatWatch {
    entries: Vec<WatchEntry>,
}

impl HeartbeatWatch {
    /// Records a sign of life of `agent`, which had `version` in force.
    pub fn heard(&mut self, now: Millis, agent: SocketAddrV4, version: u32) {
        let entry = self.entry(now, agent);
        entry.heard = now;
        entry.version = version;
    }

    /// Records a sign of life of `agent` if it is watched.
    pub fn answered(&mut self, now: Millis, agent: SocketAddrV4) {
        if let Ok(at) = self.find(agent) {
            self.entries[at].heard = now;
        }
    }

    /// Records whether this balancer is one of those that `agent` should use.
    ///
    /// An agent that newly belongs to this balancer gets half the patience to send a heartbeat: it
    /// leaves a failed balancer within 3 s, long before that one is dead to others.
    pub fn assign(&mut self, now: Millis, agent: SocketAddrV4, ours: bool) {
        match (self.find(agent), ours) {
            (Ok(at), true) if !self.entries[at].ours => {
                self.entries[at].ours = true;
            }
            (Ok(at), false) => self.entries[at].ours = false,
            (Err(_), true) => {
                let entry = self.entry(now, agent);
                entry.ours = true;
                entry.heard = Millis(now.0.saturating_sub(HEARTBEAT_PATIENCE.0 / 2));
            }
            _ => {}
        }
    }

    /// Returns whether `agent` gave a sign of life within the patience.
    pub fn is_fresh(&self, now: Millis, agent: SocketAddrV4) -> bool {
        let found = self.find(agent);
        found.is_ok_and(|at| now.since(self.entries[at].heard) < HEARTBEAT_PATIENCE)
    }

    /// Returns whether `agent` is watched.
    pub fn knows(&self, agent: SocketAddrV4) -> bool {
        self.find(agent).is_ok()
    }

    /// Stops watching `agent`.
    pub fn remove(&mut self, agent: SocketAddrV4) {
        if let Ok(at) = self.find(agent) {
            self.entries.remove(at);
        }
    }

    /// Returns the agents of this balancer that have been silent too long, each once in a patience,
    /// and forgets silent agents of others.
    pub fn silent(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        self.entries
            .retain(|entry| entry.ours || now.since(entry.heard) < FOREIGN_PATIENCE);
        let mut silent = Vec::new();
        for entry in &mut self.entries {
            let last = entry.heard.max(entry.probed);
            if entry.ours && now.since(last) >= HEARTBEAT_PATIENCE {
                entry.probed = now;
                silent.push(entry.agent);
            }
        }
        silent
    }

    /// Returns the agents that were heard lately with a version older than `version`.
    pub fn behind(&self, now: Millis, version: u32) -> Vec<SocketAddrV4> {
        self.entries
            .iter()
            .filter(|entry| entry.version < version && now.since(entry.heard) < FOREIGN_PATIENCE)
            .map(|entry| entry.agent)
            .collect()
    }

    /// Grants all agents the full patience again.
    pub fn forgive(&mut self, now: Millis) {
        for entry in &mut self.entries {
            entry.heard = now;
        }
    }

    /// Returns the number of agents watched.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no agent is watched.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        self.entries.capacity() * size_of::<WatchEntry>()
    }

    fn find(&self, agent: SocketAddrV4) -> Result<usize, usize> {
        let number = address_to_number(agent);
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }

    fn entry(&mut self, now: Millis, agent: SocketAddrV4) -> &mut WatchEntry {
        let at = match self.find(agent) {
            Ok(at) => at,
            Err(at) => {
                let entry = WatchEntry {
                    number: address_to_number(agent),
                    agent,
                    heard: now,
                    probed: Millis(0),
                    version: 0,
                    ours: false,
                };
                self.entries.insert(at, entry);
                at
            }
        };
        &mut self.entries[at]
    }
}
