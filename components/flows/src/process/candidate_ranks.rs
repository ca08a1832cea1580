//! Candidates of one packet, and their order.

use std::net::SocketAddrV4;

use carobdrum_core::process::splitmix64;

/// Most candidates of one packet.
const MAX_CANDIDATES: usize = 16;

/// Most servers of a service that are left out because they fail, in percent.
const MAX_EJECTED_PERCENT: usize = 34;

/// Flows that go to failing servers as well, in percent.
const TRIAL_PERCENT: u64 = 4;

/// Keeps the choice of these flows independent of the order of the agents.
const TRIAL_SALT: u64 = 0x7e57_f10e;

/// How many candidates a packet has.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ListSize {
    /// Most candidates in the flow's data centre.
    pub(crate) near: usize,
    /// Most candidates in each other data centre.
    pub(crate) far: usize,
    /// Most candidates in all other data centres, without that of the caller.
    pub(crate) all_far: usize,
}

/// What comes before the hash in the order of candidates; false comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct CandidatePlace {
    /// Whether the agent doesn't answer.
    pub(crate) suspect: bool,
    /// Whether its data centre is taken out.
    pub(crate) closed: bool,
    /// Whether its data centre isn't the flow's, once [`CandidateRanks::set_home`] has chosen that.
    pub(crate) far: bool,
    /// Place of its service in the route.
    pub(crate) service: u8,
    /// Whether it reported no free slot.
    pub(crate) busy: bool,
}

/// An agent that may get a packet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) place: CandidatePlace,
    /// Place in the order that all balancers share; the highest comes first.
    pub(crate) score: u64,
    pub(crate) centre: u32,
    pub(crate) address: SocketAddrV4,
    pub(crate) failing: bool,
}

/// The agents that a packet is offered to, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CandidateList {
    pub(crate) agents: Vec<SocketAddrV4>,
    /// How many of them are in the flow's data centre and answer.
    pub(crate) near: u8,
    /// The flow's data centre.
    pub(crate) centre: u32,
}

/// Candidates of one packet.
#[derive(Debug, Default)]
pub(crate) struct CandidateRanks {
    ranks: Vec<Candidate>,
}

impl CandidateRanks {
    /// Starts anew.
    pub(crate) fn clear(&mut self) {
        self.ranks.clear();
    }

    /// Adds candidates.
    pub(crate) fn extend(&mut self, candidates: impl Iterator<Item = Candidate>) {
        self.ranks.extend(candidates);
    }

    /// Leaves out the agents that don't answer, unless no other agent is left. An opening packet
    /// that is passed to one of them is lost, with all its later candidates.
    pub(crate) fn leave_out_suspects(&mut self) {
        let is_suspect = |candidate: &Candidate| candidate.place.suspect;
        if !self.ranks.iter().all(is_suspect) {
            self.ranks.retain(|candidate| !is_suspect(candidate));
        }
    }

    /// Leaves out the servers that fail, for most flows; the others show when they have recovered.
    /// Never more than a part of the service is left out: if most servers fail, the cause is
    /// elsewhere, and the rest wouldn't bear the load.
    pub(crate) fn leave_out_failing(&mut self, hash: u64) {
        let failing = self.ranks.iter().filter(|candidate| candidate.failing);
        let percent = failing.count() * 100 / self.ranks.len().max(1);
        let is_trial = splitmix64(hash ^ TRIAL_SALT) % 100 < TRIAL_PERCENT;
        if percent <= MAX_EJECTED_PERCENT && !is_trial {
            self.ranks.retain(|candidate| !candidate.failing);
        }
    }

    /// Sets the data centre of the flow, and returns it: the caller's if it has a usable agent, and
    /// another one by hash otherwise, so that its flows have as many candidates as others.
    pub(crate) fn set_home(&mut self, caller: u32, hash: u64) -> u32 {
        let usable = |candidate: &&Candidate| !candidate.place.suspect && !candidate.place.closed;
        let score = |centre: u32| splitmix64(hash ^ u64::from(centre));
        let centres = self.ranks.iter().filter(usable).map(|found| found.centre);
        let home = centres.max_by_key(|centre| (*centre == caller, score(*centre)));
        let home = home.unwrap_or(caller);
        for candidate in &mut self.ranks {
            candidate.place.far = candidate.centre != home;
        }
        home
    }

    /// Returns the candidates in order. `caller` is the data centre of the caller, `home` that of
    /// the flow, which [`CandidateRanks::set_home`] returned.
    pub(crate) fn take(&mut self, caller: u32, home: u32, size: ListSize) -> CandidateList {
        self.ranks.sort_unstable_by(|left, right| {
            let places = left.place.cmp(&right.place);
            places.then(right.score.cmp(&left.score))
        });
        let mut list = CandidateList {
            agents: Vec::with_capacity(MAX_CANDIDATES),
            near: 0,
            centre: home,
        };
        let mut far = 0;
        for (index, candidate) in self.ranks.iter().enumerate() {
            let before = &self.ranks[..index];
            let same = before
                .iter()
                .filter(|other| other.centre == candidate.centre);
            let is_near = candidate.centre == home;
            let is_other = !is_near && candidate.centre != caller;
            let most = if is_near { size.near } else { size.far };
            let too_far = is_other && far == size.all_far;
            if list.agents.len() == MAX_CANDIDATES || same.count() >= most || too_far {
                continue;
            }
            list.agents.push(candidate.address);
            far += usize::from(is_other);
            list.near += u8::from(is_near && !candidate.place.suspect);
        }
        list
    }
}
