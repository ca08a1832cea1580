//! Monitoring of the heartbeats that a balancer receives from agents.

use std::net::SocketAddrV4;

use super::stable_hash::address_to_number;
use crate::Millis;

/// Time without a message from an agent after which it is probed. It covers the loss of one
/// heartbeat and its repetition.
pub const HEARTBEAT_TIMEOUT: Millis = Millis(3_000);

/// Time for which an agent that is assigned to other balancers is kept after its last message.
const UNASSIGNED_RETENTION: Millis = Millis(10_000);

#[derive(Clone, Copy, Debug)]
struct MonitorEntry {
    number: u64,
    agent: SocketAddrV4,
    last_heard: Millis,
    last_probed: Millis,
    version: u32,
    assigned: bool,
}

/// When each agent last sent a message, and the configuration version that it had in force then.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatMonitor {
    entries: Vec<MonitorEntry>,
}

impl HeartbeatMonitor {
    /// Records a heartbeat from `agent`, which has configuration `version` in force.
    pub fn record_heartbeat(&mut self, now: Millis, agent: SocketAddrV4, version: u32) {
        let entry = self.entry(now, agent);
        entry.last_heard = now;
        entry.version = version;
    }

    /// Records another message from `agent`, if the agent is monitored.
    pub fn record_response(&mut self, now: Millis, agent: SocketAddrV4) {
        if let Ok(index) = self.find(agent) {
            self.entries[index].last_heard = now;
        }
    }

    /// Records whether `agent` is assigned to this balancer.
    ///
    /// A newly assigned agent has half of [`HEARTBEAT_TIMEOUT`] to send its first heartbeat. That
    /// is enough, because agents replace a failed balancer within 3 s, long before other members
    /// declare that balancer dead.
    pub fn assign(&mut self, now: Millis, agent: SocketAddrV4, assigned: bool) {
        match (self.find(agent), assigned) {
            (Ok(index), true) if !self.entries[index].assigned => {
                self.entries[index].assigned = true;
            }
            (Ok(index), false) => self.entries[index].assigned = false,
            (Err(_), true) => {
                let entry = self.entry(now, agent);
                entry.assigned = true;
                entry.last_heard = Millis(now.0.saturating_sub(HEARTBEAT_TIMEOUT.0 / 2));
            }
            _ => {}
        }
    }

    /// Returns whether `agent` sent a message within [`HEARTBEAT_TIMEOUT`].
    pub fn heard_recently(&self, now: Millis, agent: SocketAddrV4) -> bool {
        let found = self.find(agent);
        found.is_ok_and(|index| now.since(self.entries[index].last_heard) < HEARTBEAT_TIMEOUT)
    }

    /// Returns whether `agent` is monitored.
    pub fn contains(&self, agent: SocketAddrV4) -> bool {
        self.find(agent).is_ok()
    }

    /// Stops monitoring `agent`.
    pub fn remove(&mut self, agent: SocketAddrV4) {
        if let Ok(index) = self.find(agent) {
            self.entries.remove(index);
        }
    }

    /// Returns the agents assigned to this balancer that haven't sent a message within
    /// [`HEARTBEAT_TIMEOUT`], each at most once in that time. Removes silent agents that are
    /// assigned to other balancers.
    pub fn take_silent(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        self.entries
            .retain(|entry| entry.assigned || now.since(entry.last_heard) < UNASSIGNED_RETENTION);
        let mut silent = Vec::new();
        for entry in &mut self.entries {
            let last = entry.last_heard.max(entry.last_probed);
            if entry.assigned && now.since(last) >= HEARTBEAT_TIMEOUT {
                entry.last_probed = now;
                silent.push(entry.agent);
            }
        }
        silent
    }

    /// Returns the agents whose last heartbeat was recent and showed a version older than
    /// `version`.
    pub fn outdated(&self, now: Millis, version: u32) -> Vec<SocketAddrV4> {
        self.entries
            .iter()
            .filter(|entry| {
                entry.version < version && now.since(entry.last_heard) < UNASSIGNED_RETENTION
            })
            .map(|entry| entry.agent)
            .collect()
    }

    /// Restarts the heartbeat timeout of all agents.
    pub fn restart_timeouts(&mut self, now: Millis) {
        for entry in &mut self.entries {
            entry.last_heard = now;
        }
    }

    /// Returns the number of monitored agents.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no agent is monitored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        self.entries.capacity() * size_of::<MonitorEntry>()
    }

    fn find(&self, agent: SocketAddrV4) -> Result<usize, usize> {
        let number = address_to_number(agent);
        self.entries
            .binary_search_by_key(&number, |entry| entry.number)
    }

    fn entry(&mut self, now: Millis, agent: SocketAddrV4) -> &mut MonitorEntry {
        let index = match self.find(agent) {
            Ok(index) => index,
            Err(index) => {
                let entry = MonitorEntry {
                    number: address_to_number(agent),
                    agent,
                    last_heard: now,
                    last_probed: Millis(0),
                    version: 0,
                    assigned: false,
                };
                self.entries.insert(index, entry);
                index
            }
        };
        &mut self.entries[index]
    }
}
