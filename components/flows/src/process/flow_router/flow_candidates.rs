//! Candidates of opening and of later packets.

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};

use super::FlowRouter;
use crate::{
    process::{
        candidate::Candidate,
        candidate_limits::CandidateLimits,
        candidate_list::CandidateList,
        name_hash,
        weighted_cost,
        SpilledFlow, //
    },
    request::FlowPacket,
    version::{
        FlowRoute,
        SiteConfig, //
    },
};

/// Limits for later packets, which need more candidates: the owner may have been among the first
/// only because others accepted no new flows, and agents that joined since may rank before it.
const LATER_LIMITS: CandidateLimits = CandidateLimits {
    near: 8,
    far: 4,
    all_far: 12,
};

/// Limits for later packets whose flows go to another data centre than the caller's. Flows that
/// opened before the caller's data centre was evacuated are still there.
const LATER_REMOTE_LIMITS: CandidateLimits = CandidateLimits {
    near: 4,
    far: 4,
    all_far: 8,
};

/// Returns the services that may hold an open flow of a route, as hashes of their names: those of
/// the route, beginning with the one of the flow's hash, and those that it led to before. While
/// earlier versions of the configuration are unknown, all other services follow. They replace the content of
/// `services`.
pub(super) fn owner_services(
    config: &SiteConfig,
    route: &FlowRoute,
    hash: u64,
    now: Millis,
    services: &mut Vec<u32>,
) {
    let former = config.former_services.services(route.address, now);
    let is_unknown = now < config.history_complete_at;
    let others = config.services().iter().map(|service| &service.name);
    let others = others.filter(|_| is_unknown);
    services.clear();
    for name in route.services(hash).chain(former).chain(others) {
        let service = name_hash(name);
        if !services.contains(&service) {
            services.push(service);
        }
    }
}

impl FlowRouter {
    /// Returns the candidates of an opening packet, and the anchors of its flow.
    pub(super) fn list_opening(
        &mut self,
        packet: &FlowPacket,
        service: u32,
        hash: u64,
        now: Millis,
    ) -> CandidateList {
        self.ranking.clear();
        self.add_candidates(service, 0, hash, true, now);
        let later_home = self.ranking.later_home(self.centre, hash);
        self.ranking.mark_anchors();
        let later = self.ranking.first_later(later_home, &self.agents);
        let anchors = self.ranking.first_anchors(later_home, &self.agents);
        let list = self.take_opening(packet, hash);
        if list.agents.first() != later.first() {
            self.remember_owner(packet, &list.agents, now);
        }
        let mut owners = list.agents.iter();
        let is_firm = list.centre == self.centre && owners.all(|owner| later.contains(owner));
        self.ranking.recycle(later);
        CandidateList {
            is_firm,
            anchors,
            ..list
        }
    }

    /// Returns the candidates of an opening packet among those of its service.
    fn take_opening(&mut self, packet: &FlowPacket, hash: u64) -> CandidateList {
        self.ranking.exclude_suspects();
        self.ranking.eject_failing(hash);
        let home = self.ranking.opening_home(self.centre, hash);
        let spilled = if self.options.weigh_servers {
            self.ranking.spill(home, hash)
        } else {
            None
        };
        let spills = spilled.is_some();
        let mut list = self
            .ranking
            .take_opening(self.centre, home, spills, &self.agents);
        if let Some((near, full_twice)) = spilled {
            // Servers of the flow's data centre follow those of others, so all are to be asked.
            list.near = u8::try_from(list.agents.len()).unwrap_or(u8::MAX);
            self.placement.spilled = Some(SpilledFlow {
                key: packet.key,
                near,
                full_twice,
            });
        }
        list
    }

    /// Returns the candidates of a later packet, whose flow may have opened at any of `services`.
    /// Agents of the first one come first in each data centre.
    pub(super) fn list_later(&mut self, services: &[u32], hash: u64, now: Millis) -> CandidateList {
        self.ranking.clear();
        for (index, service) in services.iter().enumerate() {
            let order = u8::try_from(index).unwrap_or(u8::MAX);
            self.add_candidates(*service, order, hash, false, now);
        }
        let home = self.ranking.later_home(self.centre, hash);
        self.ranking.mark_anchors();
        let limits = if home == self.centre {
            LATER_LIMITS
        } else {
            LATER_REMOTE_LIMITS
        };
        self.ranking
            .take_later(self.centre, home, limits, &self.agents)
    }

    fn add_candidates(
        &mut self,
        service: u32,
        order: u8,
        hash: u64,
        is_opening: bool,
        now: Millis,
    ) {
        let is_weighed = is_opening && self.options.weigh_servers;
        for agents in self.agents.of_service_by_centre(service) {
            let Some((_, first)) = agents.clone().next() else {
                continue;
            };
            let centre = first.centre;
            let evacuated = first.is_evacuated(self.config.as_deref());
            let group = self.ranking.group(order, centre);
            self.ranking.extend(agents.map(|(agent, state)| {
                let score = splitmix64(state.hash ^ hash);
                Candidate {
                    score,
                    cost: if is_weighed {
                        weighted_cost(score, state.weight.eighths())
                    } else {
                        0
                    },
                    agent,
                    group,
                    centre,
                    service: order,
                    suspect: state.is_suspect(now),
                    evacuated,
                    takes_flow: state.report.accepts && !evacuated,
                    busy: is_opening && state.is_busy(now),
                    failing: state.is_failing(),
                    is_free: is_weighed && state.is_free(now),
                    was_full_twice: is_weighed && state.weight.was_full_twice(),
                    is_anchor: false,
                }
            }));
        }
    }
}
