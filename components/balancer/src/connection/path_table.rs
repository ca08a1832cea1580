//! What a traffic thread knows of its paths to agents.

use std::net::SocketAddrV4;

use carobdrum_core::{
    connection::{
        PathAction,
        PathHealth,
        ProbeBudget, //
    },
    Millis,
};

/// Source ports that a thread has for its paths.
pub(crate) const SOURCE_PORTS: u16 = 4;
/// Bytes of probes that a thread may send a second, a small part of the 4 KB for control.
const PROBE_BYTES_PER_SECOND: u32 = 512;

/// Load of an agent that has reported none; flows then stay at the first candidate.
const UNKNOWN_LOAD: u8 = u8::MAX;

struct AgentPath {
    agent: SocketAddrV4,
    /// Source port in use, as a place in the thread's list of tunnel sockets.
    port: u16,
    /// Load of the agent's server, as reported on answers.
    load: u8,
    health: PathHealth,
}

/// The paths of one thread, sorted by agent.
pub(crate) struct PathTable {
    paths: Vec<AgentPath>,
    budget: ProbeBudget,
}

impl PathTable {
    /// Creates a table without paths.
    pub(crate) fn new(now: Millis) -> PathTable {
        PathTable {
            paths: Vec::new(),
            budget: ProbeBudget::new(now, PROBE_BYTES_PER_SECOND),
        }
    }

    /// Records that a datagram goes to `agent`, and returns the port to use and what else to do.
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

    /// Records that something came from `agent` to `port`.
    pub(crate) fn receive(&mut self, agent: SocketAddrV4, port: u16, load: u8) {
        let index = self.find_or_insert(agent);
        let path = &mut self.paths[index];
        path.load = load;
        if path.port == port {
            path.health.record_received();
        }
    }

    /// Returns the load that `agent` reported last, or [`UNKNOWN_LOAD`].
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
