//! Ranking of the agents that may get a packet.

use std::net::SocketAddrV4;

use carobdrum_core::process::splitmix64;

use super::{
    candidate::{
        Candidate,
        CandidateDistance, //
    },
    candidate_group::CandidateGroup,
    candidate_limits::{
        CandidateLimits,
        OPENING_LIMITS, //
    },
    candidate_list::CandidateList,
    first_places::FirstPlaces,
    AgentTable, //
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

/// Number of the first candidates of later packets that remain candidates when agents join.
const FIRM_RANKS: usize = 4;

/// Limit of the kept vectors; a decision uses four.
const MAX_SPARE: usize = 4;

/// Largest share of a service's servers that may be ejected, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// Share of flows that may go to ejected servers as well, in percent.
const TRIAL_PERCENT: u64 = 4;

/// Keeps the choice of trial flows independent of the ranking of the agents.
const TRIAL_SALT: u64 = 0x7e57_f10e;

/// Keeps the choice of the flows that spill to other data centres independent of the ranking.
const SPILL_SALT: u64 = 0x0005_b111;

/// Builder of the candidate lists of one packet.
#[derive(Debug, Default)]
pub(crate) struct CandidateRanking {
    /// Candidates of a service are adjacent.
    candidates: Vec<Candidate>,
    /// Groups of a service are adjacent.
    groups: Vec<CandidateGroup>,
    /// Indices of the anchors.
    anchors: Vec<u32>,
    /// Orders and indices of the candidates that may be taken, in order.
    sorted: Vec<(u128, u32)>,
    /// Agents of the last list, as indices into the table.
    taken: Vec<u32>,
    /// Vectors of former lists, so that a new list takes no allocation.
    spare: Vec<Vec<SocketAddrV4>>,
}

impl CandidateRanking {
    /// Removes all candidates, to start with the next packet.
    pub(crate) fn clear(&mut self) {
        self.candidates.clear();
        self.groups.clear();
        self.anchors.clear();
    }

    /// Returns the index of the group of candidates of a service in a data centre. Services must be added
    /// one after the other.
    pub(crate) fn group(&mut self, service: u8, centre: u32) -> u32 {
        let groups = self.groups.iter().enumerate().rev();
        let mut same_service = groups.take_while(|(_, group)| group.service == service);
        let found = same_service.find(|(_, group)| group.centre == centre);
        let index = found.map(|(index, _)| index).unwrap_or_else(|| {
            self.groups.push(CandidateGroup {
                service,
                centre,
                first: FirstPlaces::new(0),
                taken: 0,
            });
            self.groups.len() - 1
        });
        index as u32
    }

    /// Adds candidates in any order.
    pub(crate) fn extend(&mut self, candidates: impl Iterator<Item = Candidate>) {
        self.candidates.extend(candidates);
    }

    /// Returns the agents of the last list, as indices into the table.
    pub(crate) fn taken(&self) -> &[u32] {
        &self.taken
    }

    /// Keeps the vector of a list that is not needed any more.
    pub(crate) fn recycle(&mut self, mut list: Vec<SocketAddrV4>) {
        if self.spare.len() < MAX_SPARE {
            list.clear();
            self.spare.push(list);
        }
    }

    /// Excludes suspect agents from opening packets, unless all agents are suspect. An opening packet that is
    /// redirected to a dead agent is lost and doesn't reach its remaining candidates.
    pub(crate) fn exclude_suspects(&mut self) {
        let (suspects, count) = self.count_opening(|candidate| candidate.suspect);
        if suspects > 0 && suspects < count {
            for candidate in &mut self.candidates {
                candidate.takes_flow &= !candidate.suspect;
            }
        }
    }

    /// Excludes failing servers from opening packets, except for the few trial flows that show when they have
    /// recovered. None is excluded if more than [`MAX_EJECTED_PERCENT`] of the service fail: the cause is then
    /// elsewhere, and the remaining servers couldn't handle the load.
    pub(crate) fn eject_failing(&mut self, hash: u64) {
        let (failing, count) = self.count_opening(|candidate| candidate.failing);
        if failing == 0 {
            return;
        }
        let percent = failing * 100 / count;
        let is_trial = splitmix64(hash ^ TRIAL_SALT) % 100 < TRIAL_PERCENT;
        if percent <= MAX_EJECTED_PERCENT && !is_trial {
            for candidate in &mut self.candidates {
                candidate.takes_flow &= !candidate.failing;
            }
        }
    }

    /// Returns how many candidates of an opening packet meet a condition, and how many there are.
    fn count_opening(&self, is_met: impl Fn(&Candidate) -> bool) -> (usize, usize) {
        let (mut met, mut count) = (0, 0);
        for candidate in self.opening_candidates() {
            met += usize::from(is_met(candidate));
            count += 1;
        }
        (met, count)
    }

    /// Returns the hash of the data centre of an opening packet's flow.
    pub(crate) fn opening_home(&self, caller: u32, hash: u64) -> u32 {
        self.home(caller, hash, |candidate| candidate.takes_flow)
    }

    /// Returns the hash of the data centre of a later packet's flow.
    pub(crate) fn later_home(&self, caller: u32, hash: u64) -> u32 {
        self.home(caller, hash, |_| true)
    }

    /// Chooses the data centre of the flow, and returns its hash: the caller's if it has a usable
    /// agent, otherwise another one by the flow's hash, so that flows of an unusable data centre
    /// have as many candidates as others.
    fn home(&self, caller: u32, hash: u64, is_included: impl Fn(&Candidate) -> bool) -> u32 {
        let usable = |candidate: &&Candidate| {
            !candidate.suspect && !candidate.evacuated && is_included(candidate)
        };
        let score = |centre: u32| splitmix64(hash ^ u64::from(centre));
        let usable = || self.candidates.iter().filter(usable);
        let is_first = |candidate: &Candidate| candidate.service == 0;
        let is_caller = |candidate: &Candidate| candidate.centre == caller;
        if usable().any(|found| is_caller(found) && is_first(found)) {
            return caller;
        }
        let home =
            usable().max_by_key(|found| (is_first(found), is_caller(found), score(found.centre)));
        home.map_or(caller, |candidate| candidate.centre)
    }

    /// Returns whether servers of other data centres that have a free slot come first, as no server of the
    /// flow's data centre has one: how many servers that data centre has, and how many of them were full in
    /// their last two reports. Only as large a share of the flows spills, so that balancers with old
    /// reports don't send all flows to the same servers. `home` is the flow's data centre.
    pub(crate) fn spill(&self, home: u32, hash: u64) -> Option<(usize, usize)> {
        let (mut near, mut full_twice) = (0, 0);
        for candidate in self.opening_candidates() {
            if candidate.centre == home {
                if !candidate.busy {
                    return None;
                }
                near += 1;
                full_twice += usize::from(candidate.was_full_twice);
            }
        }
        if near == 0 || splitmix64(hash ^ SPILL_SALT) % near as u64 >= full_twice as u64 {
            return None;
        }
        let mut others = self.opening_candidates();
        others
            .any(|candidate| candidate.centre != home && candidate.is_free)
            .then_some((near, full_twice))
    }

    fn opening_candidates(&self) -> impl Iterator<Item = &Candidate> {
        let candidates = self.candidates.iter();
        candidates.filter(|candidate| candidate.takes_flow)
    }

    /// Marks the anchors of the flow: the agents of each service that come first by the hash alone,
    /// wherever they are. Balancers of all data centres agree on them, whatever they believe of
    /// evacuations and of agents that don't answer.
    pub(crate) fn mark_anchors(&mut self) {
        let mut start = 0;
        for _ in 0..MAX_ANCHORED_SERVICES {
            let Some(first) = self.candidates.get(start) else {
                return;
            };
            let service = first.service;
            let mut places = FirstPlaces::new(MAX_ANCHORS);
            let candidates = self.candidates[start..].iter();
            let candidates = candidates.take_while(|candidate| candidate.service == service);
            for candidate in candidates {
                places.insert((u128::from(!candidate.score), start as u32));
                start += 1;
            }
            for (_, index) in places.as_slice() {
                self.candidates[*index as usize].is_anchor = true;
                self.anchors.push(*index);
            }
        }
    }

    /// Returns the first candidates of later packets, without limits. `home` is the data centre that
    /// [`CandidateRanking::later_home`] returned.
    pub(crate) fn first_later(&mut self, home: u32, agents: &AgentTable) -> Vec<SocketAddrV4> {
        let mut places = FirstPlaces::new(FIRM_RANKS);
        for (index, candidate) in self.candidates.iter().enumerate() {
            places.insert((candidate.later_order(home), index as u32));
        }
        self.list(&places, agents)
    }

    /// Returns the anchors of the flow at its first service, in the order of later packets.
    pub(crate) fn first_anchors(&mut self, home: u32, agents: &AgentTable) -> Vec<SocketAddrV4> {
        let mut places = FirstPlaces::new(MAX_ANCHORS);
        for index in &self.anchors {
            let candidate = &self.candidates[*index as usize];
            if candidate.service == 0 {
                places.insert((candidate.later_order(home), *index));
            }
        }
        self.list(&places, agents)
    }

    /// Returns the best candidates of an opening packet within [`OPENING_LIMITS`].
    ///
    /// `caller` is the data centre of the caller, `home` that of the flow, which
    /// [`CandidateRanking::opening_home`] returned. `spills` tells whether free servers of other data centres
    /// come first.
    pub(crate) fn take_opening(
        &mut self,
        caller: u32,
        home: u32,
        spills: bool,
        agents: &AgentTable,
    ) -> CandidateList {
        self.start_groups(home, OPENING_LIMITS);
        for (index, candidate) in self.candidates.iter().enumerate() {
            if !candidate.takes_flow {
                continue;
            }
            let distance = if candidate.centre == home {
                CandidateDistance::Near
            } else if spills && candidate.is_free {
                CandidateDistance::Spill
            } else {
                CandidateDistance::Far
            };
            let place = (candidate.opening_order(distance), index as u32);
            self.groups[candidate.group as usize].first.insert(place);
        }
        self.take(caller, home, OPENING_LIMITS, false, agents)
    }

    /// Returns the best candidates of a later packet within `limits`, and the anchors beside them.
    ///
    /// `caller` is the data centre of the caller, `home` that of the flow, which
    /// [`CandidateRanking::later_home`] returned.
    pub(crate) fn take_later(
        &mut self,
        caller: u32,
        home: u32,
        limits: CandidateLimits,
        agents: &AgentTable,
    ) -> CandidateList {
        self.start_groups(home, limits);
        for (index, candidate) in self.candidates.iter().enumerate() {
            let place = (candidate.later_order(home), index as u32);
            self.groups[candidate.group as usize].first.insert(place);
        }
        for index in &self.anchors {
            let order = self.candidates[*index as usize].later_order(home);
            self.sorted.push((order, *index));
        }
        let list = self.take(caller, home, limits, true, agents);
        CandidateList {
            anchors: self.first_anchors(home, agents),
            ..list
        }
    }

    /// Empties the groups and sets their limits. Of each service and data centre, as many candidates are
    /// sorted as the limit allows; they are few, so sorting them costs little.
    fn start_groups(&mut self, home: u32, limits: CandidateLimits) {
        self.sorted.clear();
        for group in &mut self.groups {
            let limits = limits.for_service(group.service);
            group.first.clear(limits.in_centre(group.centre == home));
            group.taken = 0;
        }
    }

    /// Takes the candidates of the groups within the limits, and the anchors beside them if `adds_anchors`.
    fn take(
        &mut self,
        caller: u32,
        home: u32,
        limits: CandidateLimits,
        adds_anchors: bool,
        agents: &AgentTable,
    ) -> CandidateList {
        for group in &self.groups {
            self.sorted.extend(group.first.as_slice());
        }
        self.sorted.sort_unstable();
        self.sorted.dedup();
        self.taken.clear();
        let mut list = CandidateList {
            agents: self.new_list(),
            near: 0,
            centre: home,
            anchors: Vec::new(),
            is_firm: false,
            silent: 0,
        };
        let mut far = 0;
        let mut others_far = 0;
        let mut others = 0;
        for (_, index) in &self.sorted {
            let candidate = &self.candidates[*index as usize];
            let is_near = candidate.centre == home;
            let is_remote = !is_near && candidate.centre != caller;
            let is_other = candidate.service > 0;
            let is_anchor = adds_anchors && candidate.is_anchor;
            let all_far = if is_other { &mut others_far } else { &mut far };
            let limits = limits.for_service(candidate.service);
            let group = &mut self.groups[candidate.group as usize];
            let is_full = if is_other {
                others >= MAX_OTHER_CANDIDATES
            } else {
                list.agents.len() - others >= MAX_CANDIDATES
            };
            let is_excluded = is_full
                || group.taken >= limits.in_centre(is_near)
                || (is_remote && *all_far >= limits.all_far);
            if is_excluded && !is_anchor {
                continue;
            }
            list.agents.push(agents.address(candidate.agent));
            self.taken.push(candidate.agent);
            group.taken += 1;
            *all_far += usize::from(is_remote);
            others += usize::from(is_other);
            list.near += u8::from(is_near && !candidate.suspect);
            // Suspects come last.
            list.silent += u8::from(adds_anchors && candidate.suspect);
        }
        list
    }

    /// Returns the addresses of the candidates at these places.
    fn list(&mut self, places: &FirstPlaces, agents: &AgentTable) -> Vec<SocketAddrV4> {
        let mut list = self.new_list();
        for (_, index) in places.as_slice() {
            list.push(agents.address(self.candidates[*index as usize].agent));
        }
        list
    }

    fn new_list(&mut self) -> Vec<SocketAddrV4> {
        let spare = self.spare.pop();
        spare.unwrap_or_else(|| Vec::with_capacity(MAX_CANDIDATES))
    }
}
