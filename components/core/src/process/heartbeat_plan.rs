//! Which balancers an agent sends its heartbeats to.

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

/// Balancers that an agent sends heartbeats to.
pub const HEARTBEAT_BALANCERS: usize = 2;

/// Balancers in a choice; those after the first [`HEARTBEAT_BALANCERS`] are spares.
const CHOICE_LEN: usize = 4;

#[derive(Clone, Copy, Debug)]
struct PlanSeat {
    hash: u64,
    address: SocketAddrV4,
}

#[derive(Clone, Debug)]
struct PlanGroup {
    data_centre: CompactString,
    region: CompactString,
    seats: Vec<PlanSeat>,
}

/// The live balancers, grouped by data centre.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatPlan {
    groups: Vec<PlanGroup>,
}

impl HeartbeatPlan {
    /// Builds the plan from the balancers of `list`.
    pub fn new(list: &MemberList) -> HeartbeatPlan {
        let mut plan = HeartbeatPlan::default();
        for &key in list.balancers() {
            if let Some(record) = list.get(key) {
                plan.add(record);
            }
        }
        plan
    }

    /// Returns the balancers for `agent`, best first: rendezvous hashing within the agent's data
    /// centre, and elsewhere only if the data centre has too few.
    pub fn choose(&self, agent: &MemberRecord) -> Vec<SocketAddrV4> {
        let agent_hash = address_hash(agent.address);
        let mut chosen = Vec::with_capacity(CHOICE_LEN);
        for distance in 0..=2 {
            let mut best: Vec<(u64, SocketAddrV4)> = Vec::with_capacity(CHOICE_LEN + 1);
            let near = |group: &&PlanGroup| group.distance_to(agent) == distance;
            for seat in self
                .groups
                .iter()
                .filter(near)
                .flat_map(|group| &group.seats)
            {
                let score = splitmix64(seat.hash ^ agent_hash);
                insert_best(&mut best, score, seat.address);
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
        let seats: usize = self.groups.iter().map(|group| group.seats.capacity()).sum();
        self.groups.capacity() * size_of::<PlanGroup>() + seats * size_of::<PlanSeat>()
    }

    fn add(&mut self, record: &MemberRecord) {
        let seat = PlanSeat {
            hash: address_hash(record.address),
            address: record.address,
        };
        let found = self
            .groups
            .binary_search_by(|group| group.data_centre.cmp(&record.data_centre));
        match found {
            Ok(at) => self.groups[at].seats.push(seat),
            Err(at) => {
                let group = PlanGroup {
                    data_centre: record.data_centre.clone(),
                    region: record.region.clone(),
                    seats: vec![seat],
                };
                self.groups.insert(at, group);
            }
        }
    }
}

impl PlanGroup {
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

/// Returns the digest of the balancers that an agent uses, in any order.
pub fn plan_digest(balancers: &[SocketAddrV4]) -> u32 {
    let used = balancers.iter().take(HEARTBEAT_BALANCERS);
    let digest = used.fold(0u64, |sum, &address| {
        sum.wrapping_add(address_hash(address))
    });
    (digest >> 32) as u32
}

fn insert_best(best: &mut Vec<(u64, SocketAddrV4)>, score: u64, address: SocketAddrV4) {
    if best.len() == CHOICE_LEN && best[CHOICE_LEN - 1].0 >= score {
        return;
    }
    let at = best.partition_point(|&(other, _)| other >= score);
    best.insert(at, (score, address));
    best.truncate(CHOICE_LEN);
}
