//! Order of candidates by the algorithm of version bcbc1be, which lists all agents once for each use and sorts
//! them. Only the selection before the sorting is left out, since the limits alone decide the result.

use std::net::SocketAddrV4;

use carobdrum_core::{
    process::{
        address_to_number,
        splitmix64, //
    },
    Millis,
};
use carobdrum_flows::{
    process::{
        name_hash,
        weighted_cost,
        AgentRecord,
        AgentReport, //
    },
    version::SiteConfig,
};

/// Limits in the flow's data centre, in each other one, and in all others but the caller's.
type Limits = (usize, usize, usize);

const OPENING_LIMITS: Limits = (4, 1, 2);
const LATER_LIMITS: Limits = (8, 4, 12);
const LATER_REMOTE_LIMITS: Limits = (4, 4, 8);

const SPILL: u64 = 0;
const NEAR: u64 = 1;
const ANCHOR: u64 = 2;
const FAR: u64 = 3;

/// What a balancer knows of an agent.
#[derive(Clone, Debug)]
pub(crate) struct ReferenceAgent {
    pub(crate) record: AgentRecord,
    pub(crate) report: AgentReport,
    pub(crate) last_heard: Option<Millis>,
    pub(crate) unanswered_since: Option<Millis>,
    /// Whether the last report, and the one before, showed no free slot.
    pub(crate) is_full: [bool; 2],
    pub(crate) eighths: u8,
}

#[derive(Clone, Debug)]
struct Candidate {
    suspect: bool,
    evacuated: bool,
    distance: u64,
    service: u8,
    busy: bool,
    cost: u64,
    score: u64,
    is_free: bool,
    was_full_twice: bool,
    failing: bool,
    is_anchor: bool,
    centre: u32,
    address: SocketAddrV4,
}

impl Candidate {
    fn order(&self) -> u128 {
        let flags = u64::from(self.suspect) << 12 | u64::from(self.evacuated) << 11;
        let rank = flags | self.distance << 9 | u64::from(self.service) << 1 | u64::from(self.busy);
        u128::from(rank << 51 | self.cost) << 64 | u128::from(!self.score)
    }
}

/// Candidates as a header shows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReferenceList {
    pub(crate) agents: Vec<SocketAddrV4>,
    pub(crate) near: u8,
    pub(crate) centre: u32,
    pub(crate) anchors: Vec<SocketAddrV4>,
    pub(crate) is_firm: bool,
    /// Servers of the flow's data centre, and those that were full twice, if the flow spills.
    pub(crate) spilled: Option<(usize, usize)>,
}

/// A balancer's knowledge of a site.
pub(crate) struct ReferenceSite {
    /// Sorted by address.
    pub(crate) agents: Vec<ReferenceAgent>,
    pub(crate) config: SiteConfig,
    /// Hash of the name of the balancer's data centre.
    pub(crate) centre: u32,
    pub(crate) weigh_servers: bool,
    pub(crate) now: Millis,
}

impl ReferenceSite {
    pub(crate) fn list_opening(&self, service: u32, hash: u64) -> ReferenceList {
        let later = self.list_later(&[service], hash);
        let mut found = self.candidates(service, 0, hash, true);
        let suspects = found.iter().filter(|found| found.suspect).count();
        if suspects > 0 && suspects < found.len() {
            found.retain(|found| !found.suspect);
        }
        let failing = found.iter().filter(|found| found.failing).count();
        if failing > 0 {
            let percent = failing * 100 / found.len();
            let is_trial = splitmix64(hash ^ 0x7e57_f10e) % 100 < 4;
            if percent <= 34 && !is_trial {
                found.retain(|found| !found.failing);
            }
        }
        let home = self.set_home(&mut found, hash);
        let spilled = spill(&mut found, home, hash).filter(|_| self.weigh_servers);
        let mut list = self.take(found, home, OPENING_LIMITS);
        if spilled.is_some() {
            list.near = list.agents.len() as u8;
        }
        let firmly_listed = &later.agents[..later.agents.len().min(4)];
        let is_firm = list.centre == self.centre
            && list
                .agents
                .iter()
                .all(|owner| firmly_listed.contains(owner));
        ReferenceList {
            is_firm,
            anchors: later.anchors,
            spilled,
            ..list
        }
    }

    pub(crate) fn list_later(&self, services: &[u32], hash: u64) -> ReferenceList {
        let mut found = Vec::new();
        for (index, service) in services.iter().enumerate() {
            found.extend(self.candidates(*service, index as u8, hash, false));
        }
        let home = self.set_home(&mut found, hash);
        let same_service = |left: &Candidate, right: &Candidate| left.service == right.service;
        for candidates in found.chunk_by_mut(same_service).take(4) {
            candidates.sort_by_key(|candidate| !candidate.score);
            for candidate in candidates.iter_mut().take(2) {
                candidate.is_anchor = true;
                candidate.distance = candidate.distance.min(ANCHOR);
            }
        }
        let limits = if home == self.centre {
            LATER_LIMITS
        } else {
            LATER_REMOTE_LIMITS
        };
        self.take(found, home, limits)
    }

    fn candidates(&self, service: u32, order: u8, hash: u64, is_opening: bool) -> Vec<Candidate> {
        let is_weighed = is_opening && self.weigh_servers;
        let mut found = Vec::new();
        for agent in &self.agents {
            let record = &agent.record;
            let evacuated = self.config.is_evacuated(&record.centre);
            let is_usable = !is_opening || (agent.report.accepts && !evacuated);
            if name_hash(&record.service) != service || !is_usable {
                continue;
            }
            let timeout = if agent.last_heard.is_some() { 250 } else { 60 };
            let has_passed = |since: Millis| self.now.since(since) >= Millis(timeout);
            let is_heard = |last: Millis| self.now.since(last) < Millis(150);
            let is_recent = agent.last_heard.is_some_and(is_heard);
            let is_full = agent.report.busy >= agent.report.slots.max(1);
            let score = splitmix64(splitmix64(address_to_number(record.address)) ^ hash);
            found.push(Candidate {
                suspect: agent.unanswered_since.is_some_and(has_passed),
                evacuated,
                distance: NEAR,
                service: order,
                busy: is_opening && is_recent && is_full,
                cost: if is_weighed {
                    weighted_cost(score, agent.eighths)
                } else {
                    0
                },
                score,
                is_free: is_weighed && is_recent && !is_full,
                was_full_twice: is_weighed && agent.is_full == [true; 2],
                failing: agent.report.failure_percent >= 30,
                is_anchor: false,
                centre: name_hash(&record.centre),
                address: record.address,
            });
        }
        found
    }

    fn set_home(&self, found: &mut [Candidate], hash: u64) -> u32 {
        let is_caller = |found: &Candidate| found.centre == self.centre;
        let usable = found
            .iter()
            .filter(|found| !found.suspect && !found.evacuated);
        let is_home = |found: &Candidate| found.service == 0 && is_caller(found);
        let home = if usable.clone().any(is_home) {
            self.centre
        } else {
            let score = |centre: u32| splitmix64(hash ^ u64::from(centre));
            let rank =
                |found: &&Candidate| (found.service == 0, is_caller(found), score(found.centre));
            usable
                .max_by_key(rank)
                .map_or(self.centre, |found| found.centre)
        };
        for candidate in found {
            candidate.distance = if candidate.centre == home { NEAR } else { FAR };
        }
        home
    }

    fn take(&self, mut found: Vec<Candidate>, home: u32, limits: Limits) -> ReferenceList {
        found.sort_by_key(Candidate::order);
        let mut list = ReferenceList {
            centre: home,
            ..ReferenceList::default()
        };
        let mut taken: Vec<&Candidate> = Vec::new();
        for candidate in &found {
            let is_other = candidate.service > 0;
            if candidate.is_anchor && !is_other {
                list.anchors.push(candidate.address);
            }
            let limits = if is_other { OPENING_LIMITS } else { limits };
            let is_remote = |of: &Candidate| of.centre != home && of.centre != self.centre;
            let same_kind = taken.iter().filter(|of| (of.service > 0) == is_other);
            let group = taken
                .iter()
                .filter(|of| (of.service, of.centre) == (candidate.service, candidate.centre));
            let is_near = candidate.centre == home;
            let is_full = same_kind.clone().count() >= if is_other { 8 } else { 16 };
            let is_excluded = is_full
                || group.count() >= if is_near { limits.0 } else { limits.1 }
                || (is_remote(candidate)
                    && same_kind.filter(|of| is_remote(of)).count() >= limits.2);
            if is_excluded && !candidate.is_anchor {
                continue;
            }
            list.agents.push(candidate.address);
            list.near += u8::from(is_near && !candidate.suspect);
            taken.push(candidate);
        }
        list
    }
}

fn spill(found: &mut [Candidate], home: u32, hash: u64) -> Option<(usize, usize)> {
    let near = found.iter().filter(|found| found.centre == home);
    if near.clone().any(|found| !found.busy) {
        return None;
    }
    let full_twice = near.clone().filter(|found| found.was_full_twice).count();
    let near = near.count();
    if near == 0 || splitmix64(hash ^ 0x0005_b111) % near as u64 >= full_twice as u64 {
        return None;
    }
    let mut spills = false;
    for candidate in found {
        if candidate.centre != home && candidate.is_free {
            candidate.distance = SPILL;
            spills = true;
        }
    }
    spills.then_some((near, full_twice))
}
