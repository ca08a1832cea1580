//! State of a traffic thread's paths to agents.

use std::net::SocketAddrV4;

use carobdrum_core::{
    connection::{
        PathAction,
        PathHealth,
        ProbeBudget, //
    },
    Millis,
};

/// Number of source ports that a thread can use for its paths.
pub(crate) const SOURCE_PORTS: u16 = 4;
/// Bytes of pings that a thread may send per second, a small part of the 4 KB for control traffic.
const PROBE_BYTES_PER_SECOND: u32 = 512;

/// Load of an agent that hasn't reported any. New flows then stay at the first candidate.
const UNKNOWN_LOAD: u8 = u8::MAX;

struct AgentPath {
    agent: SocketAddrV4,
    /// Source port in use, as an index into the thread's list of tunnel sockets.
    port: u16,
    /// Load of the agent's backend server, as last reported in a tunnel header.
    load: u8,
    health: PathHealth,
}

/// The paths of one thread, sorted by agent.
pub(crate) struct PathTable {
    paths: Vec<AgentPath>,
    budget: ProbeBudget,
}

impl PathTable {
    pub(crate) fn new(now: Millis) -> PathTable {
        PathTable {
            paths: Vec::new(),
            budget: ProbeBudget::new(now, PROBE_BYTES_PER_SECOND),
        }
    }

    /// Records that a datagram is sent to `agent`. Returns the source port to use, as an index, and
    /// the action to take on the path.
    pub(crate) fn send(&mut self, now: Millis, agent: SocketAddrV4) -> (u16, PathAction) {
        let index = self.find_or_insert(agent);
        let path = &mut self.paths[index];
        path.health.record_sent(now);
        let action = path.health.check(now, &mut self.budget);
        if action == PathAction::ChangePort {
            path.port = (path.port + 1) % SOURCE_PORTS;
        }
        (path.port, action)
    }

    /// Records that a datagram with this load was received from `agent` on `port`.
    pub(crate) fn receive(&mut self, agent: SocketAddrV4, port: u16, load: u8) {
        let index = self.find_or_insert(agent);
        let path = &mut self.paths[index];
        path.load = load;
        if path.port == port {
            path.health.record_received();
        }
    }

    /// Returns the load last reported by `agent`, or [`UNKNOWN_LOAD`].
    pub(crate) fn load_of(&self, agent: SocketAddrV4) -> u8 {
        let found = self.paths.binary_search_by_key(&agent, |path| path.agent);
        found.map_or(UNKNOWN_LOAD, |index| self.paths[index].load)
    }

    fn find_or_insert(&mut self, agent: SocketAddrV4) -> usize {
        let found = self.paths.binary_search_by_key(&agent, |path| path.agent);
        found.unwrap_or_else(|index| {
            let path = AgentPath {
                agent,
                port: 0,
                load: UNKNOWN_LOAD,
                health: PathHealth::default(),
            };
            self.paths.insert(index, path);
            index
        })
    }
}
