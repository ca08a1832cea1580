//! Schedule of an agent's reports to balancers.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

/// Shortest interval between reports to one balancer.
const REPORT_INTERVAL: Millis = Millis(100);

/// Time without packets of a balancer after which it gets no more reports.
const PEER_RETENTION: Millis = Millis(15_000);

/// Interval between reports to a balancer that doesn't send. They let a restarted balancer discover
/// the agent even while the store is unavailable.
const IDLE_REPORT_INTERVAL: Millis = Millis(1_000);

/// Limit of the balancers that get a report at a time without sending, so that the reports don't
/// grow with the fleet.
const MAX_IDLE_PEERS: usize = 16;

/// A balancer that has sent to the agent.
#[derive(Clone, Copy, Debug)]
struct BalancerPeer {
    address: SocketAddrV4,
    last_heard: Millis,
    reported: Option<Millis>,
    /// Whether a packet arrived after the last report.
    report_pending: bool,
    /// Hash of the data centre of the last flow that it has forwarded, which is usually its own; zero
    /// before the first one.
    centre: u32,
}

impl BalancerPeer {
    fn interval_elapsed(&self, now: Millis, interval: Millis) -> bool {
        self.reported
            .is_none_or(|reported| now.since(reported) >= interval)
    }
}

/// Balancers that have sent to an agent, sorted by address, and the times of their reports.
#[derive(Debug, Default)]
pub struct ReportSchedule {
    peers: Vec<BalancerPeer>,
}

impl ReportSchedule {
    /// Records a packet of a balancer; returns whether to report at once.
    ///
    /// Otherwise a report stays pending: a balancer suspects an agent that doesn't answer its last
    /// packet.
    pub fn note_packet(&mut self, balancer: SocketAddrV4, now: Millis) -> bool {
        self.note(balancer, None, now)
    }

    /// Records a packet of a flow of this data centre that a balancer has forwarded; returns whether to
    /// report at once.
    pub fn note_forwarded(&mut self, balancer: SocketAddrV4, centre: u32, now: Millis) -> bool {
        self.note(balancer, Some(centre), now)
    }

    fn note(&mut self, balancer: SocketAddrV4, centre: Option<u32>, now: Millis) -> bool {
        let found = self
            .peers
            .binary_search_by_key(&balancer, |peer| peer.address);
        let index = found.unwrap_or_else(|index| {
            let peer = BalancerPeer {
                address: balancer,
                last_heard: now,
                reported: None,
                report_pending: false,
                centre: 0,
            };
            self.peers.insert(index, peer);
            index
        });
        let peer = &mut self.peers[index];
        peer.last_heard = now;
        peer.centre = centre.unwrap_or(peer.centre);
        peer.report_pending = !peer.interval_elapsed(now, REPORT_INTERVAL);
        if !peer.report_pending {
            peer.reported = Some(now);
        }
        !peer.report_pending
    }

    /// Returns the balancers to report to now: those with a pending report, and a few of those that
    /// don't send.
    pub fn take_due(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        self.peers
            .retain(|peer| now.since(peer.last_heard) < PEER_RETENTION);
        let mut idle_peers = 0;
        let mut due = Vec::new();
        for peer in &mut self.peers {
            let idle = !peer.report_pending && peer.interval_elapsed(now, IDLE_REPORT_INTERVAL);
            let chosen = idle && idle_peers < MAX_IDLE_PEERS;
            idle_peers += usize::from(chosen);
            if chosen || (peer.report_pending && peer.interval_elapsed(now, REPORT_INTERVAL)) {
                peer.reported = Some(now);
                peer.report_pending = false;
                due.push(peer.address);
            }
        }
        due
    }

    /// Returns at most `limit` balancers of as many data centres as possible, the most recently heard ones
    /// first.
    pub fn recent_peers(&self, limit: usize) -> Vec<SocketAddrV4> {
        let mut recent: Vec<&BalancerPeer> = self.peers.iter().collect();
        recent.sort_by_key(|peer| std::cmp::Reverse(peer.last_heard));
        // The first one of each data centre comes before the second one of any.
        let mut counts: Vec<(u32, usize)> = Vec::new();
        let mut ranked = Vec::with_capacity(recent.len());
        for peer in recent {
            let index = counts.binary_search_by_key(&peer.centre, |count| count.0);
            let index = index.unwrap_or_else(|index| {
                counts.insert(index, (peer.centre, 0));
                index
            });
            ranked.push((counts[index].1, peer.address));
            counts[index].1 += 1;
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.truncate(limit);
        ranked.into_iter().map(|(_, address)| address).collect()
    }

    /// Returns all balancers, to report a change to them.
    pub fn take_all(&mut self, now: Millis) -> Vec<SocketAddrV4> {
        for peer in &mut self.peers {
            peer.reported = Some(now);
            peer.report_pending = false;
        }
        self.peers.iter().map(|peer| peer.address).collect()
    }
}
