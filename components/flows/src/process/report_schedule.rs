//! When an agent reports to which balancer.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

/// Shortest time between reports to one balancer.
const REPORT_INTERVAL: Millis = Millis(100);

/// Time without packets of a balancer after which it gets no reports.
const REPORT_SPAN: Millis = Millis(15_000);

/// Time between reports to a balancer that doesn't send. After a restart it learns of the agent by
/// them, also while the store is away.
const IDLE_INTERVAL: Millis = Millis(1_000);

/// Most balancers that get reports without sending, so that their number doesn't grow with the
/// fleet.
const MAX_IDLE_PEERS: usize = 16;

/// A balancer that sends to the agent.
#[derive(Clone, Copy, Debug)]
struct BalancerPeer {
    address: SocketAddrV4,
    heard: Millis,
    reported: Option<Millis>,
    /// Whether packets came since the last report.
    owed: bool,
}

impl BalancerPeer {
    fn waited(&self, now: Millis, interval: Millis) -> bool {
        self.reported
            .is_none_or(|reported| now.since(reported) >= interval)
    }
}

/// The balancers that send to an agent, sorted by address, and the reports that they got.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    peers: Vec<BalancerPeer>,
}

impl ReportSchedule {
    /// Notes a packet of a balancer; returns whether a report is due at once.
    ///
    /// A balancer takes an agent that doesn't answer its last packet as suspect, so a report that
    /// isn't due yet is owed.
    pub fn note_packet(&mut self, balancer: SocketAddrV4, now: Millis) -> bool {
        let found = self
            .peers
            .binary_search_by_key(&balancer, |peer| peer.address);
        let index = found.unwrap_or_else(|index| {
            let peer = BalancerPeer {
                address: balancer,
                heard: now,
                reported: None,
                owed: false,
            };
            self.peers.insert(index, peer);
            index
        });
        let peer = &mut self.peers[index];
        peer.heard = now;
        peer.owed = !peer.waited(now, REPORT_INTERVAL);
        if !peer.owed {
            peer.reported = Some(now);
        }
        !peer.owed
    }

    /// Returns the balancers to which a report is due: those that are owed one, and a few of those
    /// that don't send.
    pub fn take_due(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        self.peers
            .retain(|peer| now.since(peer.heard) < REPORT_SPAN);
        let mut idle_peers = 0;
        let mut due = Vec::new();
        for peer in &mut self.peers {
            let idle = !peer.owed && peer.waited(now, IDLE_INTERVAL);
            let chosen = idle && idle_peers < MAX_IDLE_PEERS;
            idle_peers += usize::from(chosen);
            if chosen || (peer.owed && peer.waited(now, REPORT_INTERVAL)) {
                peer.reported = Some(now);
                peer.owed = false;
                due.push(peer.address);
            }
        }
        due
    }

    /// Returns all balancers, for a report of a change.
    pub fn take_all(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        for peer in &mut self.peers {
            peer.reported = Some(now);
            peer.owed = false;
        }
        self.peers.iter().map(|peer| peer.address).collect()
    }
}
