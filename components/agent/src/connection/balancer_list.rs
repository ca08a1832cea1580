//! The balancers that have sent datagrams to the agent.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::Millis;

/// Time without a datagram from a balancer after which another balancer is used, if that has sent
/// one since.
const BALANCER_TIMEOUT: Millis = Millis(1_000);
/// Number of balancer sockets at which those silent for longer than [`BALANCER_TIMEOUT`] are
/// removed.
const MAX_BALANCERS: usize = 8_192;

#[derive(Clone, Copy)]
struct BalancerEntry {
    balancer: SocketAddrV4,
    last_received: Millis,
}

/// Bounded list of the sockets of balancers, sorted by address.
#[derive(Default)]
pub(crate) struct BalancerList {
    entries: Vec<BalancerEntry>,
}

impl BalancerList {
    /// Records that a datagram arrived from `balancer`.
    pub(crate) fn record(&mut self, now: Millis, balancer: SocketAddrV4) {
        match self.find(balancer) {
            Ok(index) => self.entries[index].last_received = now,
            Err(_) => {
                if self.entries.len() >= MAX_BALANCERS {
                    self.entries
                        .retain(|entry| now.since(entry.last_received) < BALANCER_TIMEOUT);
                }
                let index = self.find(balancer).unwrap_or_else(|index| index);
                let entry = BalancerEntry {
                    balancer,
                    last_received: now,
                };
                self.entries.insert(index, entry);
            }
        }
    }

    /// Returns `balancer`, or if it is silent and another one has sent a datagram since, the one that
    /// sent the latest.
    pub(crate) fn active(&self, now: Millis, balancer: SocketAddrV4) -> SocketAddrV4 {
        let last_received = self.last_received_at(balancer);
        if now.since(last_received) < BALANCER_TIMEOUT {
            return balancer;
        }
        let latest = self.entries.iter().max_by_key(|entry| entry.last_received);
        match latest {
            Some(latest) if latest.last_received > last_received => latest.balancer,
            _ => balancer,
        }
    }

    /// Returns the alternative number `attempt` to `balancer`, counted from 0: the balancers in the
    /// order of their latest datagrams, `balancer` itself after them, and so on from the start.
    pub(crate) fn alternative(&self, balancer: SocketAddrV4, attempt: usize) -> SocketAddrV4 {
        let mut latest = self.latest_by_ip();
        latest.retain(|entry| entry.balancer.ip() != balancer.ip());
        latest.sort_by_key(|entry| std::cmp::Reverse(entry.last_received));
        let index = attempt % (latest.len() + 1);
        latest.get(index).map_or(balancer, |entry| entry.balancer)
    }

    /// Returns the socket of each IP address that has sent the latest datagram. The sockets of one
    /// address belong to one process and fail together.
    fn latest_by_ip(&self) -> Vec<BalancerEntry> {
        let ip = |entry: &BalancerEntry| -> Ipv4Addr { *entry.balancer.ip() };
        self.entries
            .chunk_by(|left, right| ip(left) == ip(right))
            .filter_map(|sockets| sockets.iter().max_by_key(|entry| entry.last_received))
            .copied()
            .collect()
    }

    fn last_received_at(&self, balancer: SocketAddrV4) -> Millis {
        let found = self.find(balancer);
        found.map_or(Millis(0), |index| self.entries[index].last_received)
    }

    fn find(&self, balancer: SocketAddrV4) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&balancer, |entry| entry.balancer)
    }
}
