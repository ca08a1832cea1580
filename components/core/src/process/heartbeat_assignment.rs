//! Assignment of agents to the balancers that they send heartbeats to.

use std::net::SocketAddrV4;

use compact_str::CompactString;

use super::{
    stable_hash::{
        address_hash,
        splitmix64, //
    },
    MemberList,
    MemberRecord, //
};

/// Number of balancers that an agent sends heartbeats to.
pub const HEARTBEAT_BALANCERS: usize = 2;

/// Number of balancers chosen for an agent; those after the first [`HEARTBEAT_BALANCERS`] are
/// spares.
const CHOICE_LEN: usize = 4;

#[derive(Clone, Copy, Debug)]
struct HashedBalancer {
    hash: u64,
    address: SocketAddrV4,
}

#[derive(Clone, Debug)]
struct BalancerGroup {
    data_centre: CompactString,
    region: CompactString,
    balancers: Vec<HashedBalancer>,
}

/// The balancers that aren't dead, grouped by data centre.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatAssignment {
    groups: Vec<BalancerGroup>,
}

impl HeartbeatAssignment {
    /// Creates the assignment to the balancers of `list` that aren't dead.
    pub fn new(list: &MemberList) -> HeartbeatAssignment {
        let mut assignment = HeartbeatAssignment::default();
        for &key in list.balancers() {
            if let Some(record) = list.get(key) {
                assignment.add(record);
            }
        }
        assignment
    }

    /// Returns up to four balancers for `agent`, best first.
    ///
    /// They are chosen by rendezvous hashing in the agent's data centre. If that has fewer than
    /// [`HEARTBEAT_BALANCERS`], others of its region follow, and then those of other regions.
    pub fn choose(&self, agent: &MemberRecord) -> Vec<SocketAddrV4> {
        let agent_hash = address_hash(agent.address);
        let mut chosen = Vec::with_capacity(CHOICE_LEN);
        for distance in 0..=2 {
            let mut best: Vec<(u64, SocketAddrV4)> = Vec::with_capacity(CHOICE_LEN + 1);
            let at_distance = |group: &&BalancerGroup| group.distance_to(agent) == distance;
            for balancer in self
                .groups
                .iter()
                .filter(at_distance)
                .flat_map(|group| &group.balancers)
            {
                let score = splitmix64(balancer.hash ^ agent_hash);
                insert_best(&mut best, score, balancer.address);
            }
            let room = CHOICE_LEN - chosen.len();
            chosen.extend(best.into_iter().take(room).map(|(_, address)| address));
            if chosen.len() >= HEARTBEAT_BALANCERS {
                break;
            }
        }
        chosen
    }

    /// Returns whether `agent` should send heartbeats to `balancer`.
    pub fn is_chosen(&self, agent: &MemberRecord, balancer: SocketAddrV4) -> bool {
        let choice = self.choose(agent);
        choice
            .iter()
            .take(HEARTBEAT_BALANCERS)
            .any(|&address| address == balancer)
    }

    /// Returns an estimate of the memory held, in bytes.
    pub fn memory(&self) -> usize {
        let capacity: usize = self
            .groups
            .iter()
            .map(|group| group.balancers.capacity())
            .sum();
        self.groups.capacity() * size_of::<BalancerGroup>() + capacity * size_of::<HashedBalancer>()
    }

    fn add(&mut self, record: &MemberRecord) {
        let balancer = HashedBalancer {
            hash: address_hash(record.address),
            address: record.address,
        };
        let found = self
            .groups
            .binary_search_by(|group| group.data_centre.cmp(&record.data_centre));
        match found {
            Ok(index) => self.groups[index].balancers.push(balancer),
            Err(index) => {
                let group = BalancerGroup {
                    data_centre: record.data_centre.clone(),
                    region: record.region.clone(),
                    balancers: vec![balancer],
                };
                self.groups.insert(index, group);
            }
        }
    }
}

impl BalancerGroup {
    fn distance_to(&self, agent: &MemberRecord) -> u8 {
        match (
            self.data_centre == agent.data_centre,
            self.region == agent.region,
        ) {
            (true, _) => 0,
            (false, true) => 1,
            (false, false) => 2,
        }
    }
}

/// Returns a digest of the balancers that an agent sends heartbeats to, regardless of their order.
/// Addresses after the first [`HEARTBEAT_BALANCERS`] are ignored.
pub fn balancers_digest(balancers: &[SocketAddrV4]) -> u32 {
    let active = balancers.iter().take(HEARTBEAT_BALANCERS);
    let digest = active.fold(0u64, |sum, &address| {
        sum.wrapping_add(address_hash(address))
    });
    (digest >> 32) as u32
}

fn insert_best(best: &mut Vec<(u64, SocketAddrV4)>, score: u64, address: SocketAddrV4) {
    if best.len() == CHOICE_LEN && best[CHOICE_LEN - 1].0 >= score {
        return;
    }
    let index = best.partition_point(|&(other, _)| other >= score);
    best.insert(index, (score, address));
    best.truncate(CHOICE_LEN);
}
