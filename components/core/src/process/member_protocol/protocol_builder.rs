//! Builder of a member protocol.

use std::net::SocketAddrV4;

use rand::rngs::SmallRng;

use super::{
    MemberProtocol,
    ProtocolTimers,
    BULK_BURST,
    DATAGRAM_BURST,
    DEFAULT_BULK_RATE,
    DEFAULT_DATAGRAM_RATE,
    MIN_BOOTSTRAP_INTERVAL, //
};
use crate::{
    process::{
        ByteBudget,
        FailureDetector,
        FetchSchedule,
        GossipQueue,
        HeartbeatAssignment,
        HeartbeatMonitor,
        MemberList,
        MemberRecord,
        PeerChoice, //
    },
    Millis, //
};

/// Collects the settings of a [`MemberProtocol`].
#[derive(Clone, Debug)]
pub struct ProtocolBuilder {
    own_record: MemberRecord,
    rng: SmallRng,
    bootstrap: Vec<SocketAddrV4>,
    rate: u32,
    bulk_rate: u32,
}

impl ProtocolBuilder {
    /// Creates the builder of the protocol of the balancer with `own_record`.
    pub(super) fn new(own_record: MemberRecord, rng: SmallRng) -> ProtocolBuilder {
        ProtocolBuilder {
            own_record,
            rng,
            bootstrap: Vec::new(),
            rate: DEFAULT_DATAGRAM_RATE,
            bulk_rate: DEFAULT_BULK_RATE,
        }
    }

    /// Sets the addresses at which other balancers are found; none by default.
    pub fn bootstrap(mut self, addresses: impl IntoIterator<Item = SocketAddrV4>) -> Self {
        self.bootstrap = addresses.into_iter().collect();
        self
    }

    /// Sets the rates of control bytes sent in datagrams and in bulk syncs, in bytes per second;
    /// 3,072 and 1,024 by default.
    pub fn rates(mut self, rate: u32, bulk_rate: u32) -> Self {
        self.rate = rate;
        self.bulk_rate = bulk_rate;
        self
    }

    /// Returns the protocol, which starts with its first tick.
    pub fn build(self) -> MemberProtocol {
        let mut protocol = MemberProtocol {
            own_record: self.own_record,
            rng: self.rng,
            bootstrap: self.bootstrap,
            list: MemberList::default(),
            queue: GossipQueue::default(),
            detector: FailureDetector::default(),
            monitor: HeartbeatMonitor::default(),
            assignment: HeartbeatAssignment::default(),
            peers: PeerChoice::default(),
            peers_epoch: 0,
            versions: FetchSchedule::default(),
            keys: FetchSchedule::default(),
            datagram_budget: ByteBudget::new(self.rate, DATAGRAM_BURST),
            bulk_budget: ByteBudget::new(self.bulk_rate, BULK_BURST),
            verifications: Vec::new(),
            reported_dead: Vec::new(),
            timers: ProtocolTimers::default(),
            bootstrap_interval: MIN_BOOTSTRAP_INTERVAL,
            joined: false,
            evacuates_centre: false,
            first_mismatch: None,
            mismatches: 0,
            next_check: 0,
            fast_checks: 0,
            actions: Vec::new(),
        };
        protocol.list.merge(Millis(0), protocol.own_record.clone());
        protocol.queue.push(protocol.own_record.address);
        protocol.refresh_peers();
        protocol
    }
}
