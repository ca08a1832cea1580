//! Ranking of the agents that may get a packet.

use std::net::SocketAddrV4;

use carobdrum_core::process::splitmix64;

use super::{
    candidate::{
        Candidate,
        CandidateDistance, //
    },
    candidate_group::CandidateGroup,
};

/// Limit of the candidates of one packet, those of other services than the first not counted.
const MAX_CANDIDATES: usize = 16;

/// Limit of the candidates of other services than the first.
const MAX_OTHER_CANDIDATES: usize = 8;

/// Number of the agents of each service to which the owner of a flow announces itself. Two, so that
/// one of them may restart.
const MAX_ANCHORS: usize = 2;

/// Limit of the services whose anchors are marked, as these are taken beside all limits.
const MAX_ANCHORED_SERVICES: usize = 4;

/// Limits for opening packets, and for later packets at each service but the first, where a flow may have
/// opened before the route changed. While all servers are busy, each candidate in another data centre adds
/// the delay of a hop there.
pub(crate) const OPENING_LIMITS: CandidateLimits = CandidateLimits {
    near: 4,
    far: 1,
    all_far: 2,
};

/// Largest share of a service's servers that may be ejected, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// Share of flows that may go to ejected servers as well, in percent.
const TRIAL_PERCENT: u64 = 4;

/// Keeps the choice of trial flows independent of the ranking of the agents.
const TRIAL_SALT: u64 = 0x7e57_f10e;

/// Keeps the choice of the flows that spill to other data centres independent of the ranking.
const SPILL_SALT: u64 = 0x0005_b111;

/// Limits of the candidates of a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CandidateLimits {
    /// Limit in the flow's data centre.
    pub(crate) near: usize,
    /// Limit in each other data centre.
    pub(crate) far: usize,
    /// Limit over all other data centres, that of the caller not counted.
    pub(crate) all_far: usize,
}

/// Number of the candidates taken from one service in one data centre.
#[derive(Clone, Copy, Debug)]
struct GroupCount {
    centre: u32,
    service: u8,
    count: usize,
}

/// Returns the count of a group; that of a new group is zero.
fn group_count(groups: &mut Vec<GroupCount>, centre: u32, service: u8) -> &mut usize {
    let found = groups
        .iter()
        .position(|group| (group.centre, group.service) == (centre, service));
    let index = found.unwrap_or_else(|| {
        groups.push(GroupCount {
            centre,
            service,
            count: 0,
        });
        groups.len() - 1
    });
    &mut groups[index].count
}

/// Candidates of a packet, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CandidateList {
    pub(crate) agents: Vec<SocketAddrV4>,
    /// How many of them are in the flow's data centre and answer.
    pub(crate) near: u8,
    /// Hash of the name of the flow's data centre.
    pub(crate) centre: u32,
    /// Anchors of the flow at its first service.
    pub(crate) anchors: Vec<SocketAddrV4>,
    /// Whether balancers of the caller's data centre find the owner by its rank.
    pub(crate) is_firm: bool,
}

/// Builder of the candidate list of one packet.
#[derive(Debug, Default)]
pub(crate) struct CandidateRanking {
    candidates: Vec<Candidate>,
    /// Scratch space for the first candidates of each service and data centre.
    groups: Vec<CandidateGroup>,
    /// Orders and indices of the candidates that may be taken, in order.
    sorted: Vec<(u128, u32)>,
    /// Scratch space for the numbers of candidates taken.
    counts: Vec<GroupCount>,
}

impl CandidateRanking {
    /// Removes all candidates, to start with the next packet.
    pub(crate) fn clear(&mut self) {
        self.candidates.clear();
    }

    /// Adds candidates in any order.
    pub(crate) fn extend(&mut self, candidates: impl Iterator<Item = Candidate>) {
        self.candidates.extend(candidates);
    }

    /// Excludes suspect agents, unless all agents are suspect. An opening packet that is redirected
    /// to a dead agent is lost and doesn't reach its remaining candidates.
    pub(crate) fn exclude_suspects(&mut self) {
        let is_suspect = |candidate: &Candidate| candidate.rank.suspect;
        let suspects = self
            .candidates
            .iter()
            .filter(|candidate| is_suspect(candidate));
        let suspects = suspects.count();
        if suspects > 0 && suspects < self.candidates.len() {
            self.candidates.retain(|candidate| !is_suspect(candidate));
        }
    }

    /// Excludes failing servers, except for the few trial flows that show when they have recovered.
    /// None is excluded if more than [`MAX_EJECTED_PERCENT`] of the service fail: the cause is then
    /// elsewhere, and the remaining servers couldn't handle the load.
    pub(crate) fn eject_failing(&mut self, hash: u64) {
        let failing = self.candidates.iter().filter(|candidate| candidate.failing);
        let failing = failing.count();
        if failing == 0 {
            return;
        }
        let percent = failing * 100 / self.candidates.len();
        let is_trial = splitmix64(hash ^ TRIAL_SALT) % 100 < TRIAL_PERCENT;
        if percent <= MAX_EJECTED_PERCENT && !is_trial {
            self.candidates.retain(|candidate| !candidate.failing);
        }
    }

    /// Chooses the data centre of the flow, and returns its hash: the caller's if it has a usable
    /// agent, otherwise another one by the flow's hash, so that flows of an unusable data centre
    /// have as many candidates as others.
    pub(crate) fn set_home(&mut self, caller: u32, hash: u64) -> u32 {
        let usable = |candidate: &&Candidate| !candidate.rank.suspect && !candidate.rank.evacuated;
        let score = |centre: u32| splitmix64(hash ^ u64::from(centre));
        let usable = self.candidates.iter().filter(usable);
        let is_first = |candidate: &Candidate| candidate.rank.service == 0;
        let is_caller = |candidate: &Candidate| candidate.centre == caller;
        let home = if usable
            .clone()
            .any(|found| is_first(found) && is_caller(found))
        {
            caller
        } else {
            let home =
                usable.max_by_key(|found| (is_first(found), is_caller(found), score(found.centre)));
            home.map_or(caller, |candidate| candidate.centre)
        };
        for candidate in &mut self.candidates {
            candidate.rank.distance = if candidate.centre == home {
                CandidateDistance::Near
            } else {
                CandidateDistance::Far
            };
        }
        home
    }

    /// Puts servers of other data centres that have a free slot first if no server of the flow's data
    /// centre has one; returns how many servers that data centre has, and how many of them were full in
    /// their last two reports. Only as large a share of the flows spills, so that balancers with old
    /// reports don't send all flows to the same servers. `home` is the flow's data centre.
    pub(crate) fn spill(&mut self, home: u32, hash: u64) -> Option<(usize, usize)> {
        let (mut near, mut full_twice) = (0, 0);
        for candidate in &self.candidates {
            if candidate.centre == home {
                if !candidate.rank.busy {
                    return None;
                }
                near += 1;
                full_twice += usize::from(candidate.was_full_twice);
            }
        }
        if near == 0 || splitmix64(hash ^ SPILL_SALT) % near as u64 >= full_twice as u64 {
            return None;
        }
        let mut spills = false;
        for candidate in &mut self.candidates {
            if candidate.centre != home && candidate.is_free {
                candidate.rank.distance = CandidateDistance::Spill;
                spills = true;
            }
        }
        spills.then_some((near, full_twice))
    }

    /// Marks the anchors of the flow: the agents of each service that come first by the hash alone,
    /// wherever they are. Balancers of all data centres agree on them, whatever they believe of
    /// evacuations and of agents that don't answer. Candidates of a service must be adjacent.
    pub(crate) fn mark_anchors(&mut self) {
        let same_service =
            |left: &Candidate, right: &Candidate| left.rank.service == right.rank.service;
        let services = self.candidates.chunk_by_mut(same_service);
        for candidates in services.take(MAX_ANCHORED_SERVICES) {
            if candidates.len() > MAX_ANCHORS {
                candidates.select_nth_unstable_by(MAX_ANCHORS - 1, |left, right| {
                    right.score.cmp(&left.score)
                });
            }
            for candidate in candidates.iter_mut().take(MAX_ANCHORS) {
                candidate.is_anchor = true;
                let distance = &mut candidate.rank.distance;
                *distance = (*distance).min(CandidateDistance::Anchor);
            }
        }
    }

    /// Sorts the candidates that may be within the limits: of each service and data centre, as many as the
    /// limit allows, and the anchors. They are few, so sorting them costs little. Candidates of a service
    /// must be adjacent.
    fn sort_first(&mut self, home: u32, limits: CandidateLimits) {
        self.groups.clear();
        self.sorted.clear();
        for (index, candidate) in self.candidates.iter().enumerate() {
            let (centre, service) = (candidate.centre, candidate.rank.service);
            let place = (candidate.order(), index as u32);
            if candidate.is_anchor {
                self.sorted.push(place);
            }
            let same_service = self.groups.iter_mut().rev();
            let mut same_service = same_service.take_while(|group| group.service == service);
            if let Some(group) = same_service.find(|group| group.centre == centre) {
                group.insert(place);
                continue;
            }
            let limits = if service > 0 { OPENING_LIMITS } else { limits };
            let limit = if centre == home {
                limits.near
            } else {
                limits.far
            };
            let mut group = CandidateGroup::new(centre, service, limit);
            group.insert(place);
            self.groups.push(group);
        }
        for group in &self.groups {
            self.sorted.extend(group.first());
        }
        self.sorted.sort_unstable();
        self.sorted.dedup();
    }

    /// Returns the best candidates within `limits`, and the anchors beside them.
    ///
    /// `caller` is the data centre of the caller, `home` that of the flow, which
    /// [`CandidateRanking::set_home`] returned.
    pub(crate) fn take(
        &mut self,
        caller: u32,
        home: u32,
        limits: CandidateLimits,
    ) -> CandidateList {
        self.sort_first(home, limits);
        let mut list = CandidateList {
            agents: Vec::with_capacity(MAX_CANDIDATES),
            near: 0,
            centre: home,
            anchors: Vec::new(),
            is_firm: false,
        };
        self.counts.clear();
        let mut far = 0;
        let mut others_far = 0;
        let mut others = 0;
        for (_, index) in &self.sorted {
            let candidate = &self.candidates[*index as usize];
            let is_near = candidate.centre == home;
            let is_remote = !is_near && candidate.centre != caller;
            let is_other = candidate.rank.service > 0;
            if candidate.is_anchor && !is_other {
                list.anchors.push(candidate.address);
            }
            let (limits, all_far) = if is_other {
                (OPENING_LIMITS, &mut others_far)
            } else {
                (limits, &mut far)
            };
            let limit = if is_near { limits.near } else { limits.far };
            let count = group_count(&mut self.counts, candidate.centre, candidate.rank.service);
            let is_full = if is_other {
                others >= MAX_OTHER_CANDIDATES
            } else {
                list.agents.len() - others >= MAX_CANDIDATES
            };
            let is_excluded =
                is_full || *count >= limit || (is_remote && *all_far >= limits.all_far);
            if is_excluded && !candidate.is_anchor {
                continue;
            }
            list.agents.push(candidate.address);
            *count += 1;
            *all_far += usize::from(is_remote);
            others += usize::from(is_other);
            list.near += u8::from(is_near && !candidate.rank.suspect);
        }
        list
    }
}
