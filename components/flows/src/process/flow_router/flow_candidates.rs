//! Candidates of opening and of later packets.

use carobdrum_core::{
    process::splitmix64,
    Millis, //
};

use super::FlowRouter;
use crate::{
    process::{
        agent_table::AgentState,
        candidate::{
            Candidate,
            CandidateDistance,
            CandidateRank, //
        },
        candidate_ranking::{
            CandidateLimits,
            CandidateList,
            OPENING_LIMITS, //
        },
        name_hash, weighted_cost, SpilledFlow,
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

/// Number of the first candidates of later packets that remain candidates when agents join.
const FIRM_RANKS: usize = 4;

/// Returns the services that may hold an open flow of a route, as hashes of their names: those of
/// the route, beginning with the one of the flow's hash, and those that it led to before. While
/// earlier versions of the configuration are unknown, all other services follow.
pub(super) fn owner_services(
    config: &SiteConfig,
    route: &FlowRoute,
    hash: u64,
    now: Millis,
) -> Vec<u32> {
    let former = config.former_services.services(route.address, now);
    let is_unknown = now < config.history_complete_at;
    let others = config.services().iter().map(|service| &service.name);
    let others = others.filter(|_| is_unknown);
    let mut services = Vec::new();
    for name in route.services(hash).chain(former).chain(others) {
        let service = name_hash(name);
        if !services.contains(&service) {
            services.push(service);
        }
    }
    services
}

impl FlowRouter {
    /// Returns the candidates of an opening packet.
    pub(super) fn list_opening(
        &mut self,
        packet: &FlowPacket,
        service: u32,
        hash: u64,
        now: Millis,
    ) -> CandidateList {
        self.ranking.clear();
        self.add_candidates(service, 0, hash, true, now);
        self.ranking.exclude_suspects();
        self.ranking.eject_failing(hash);
        let home = self.ranking.set_home(self.centre, hash);
        if !self.options.weigh_servers {
            return self.ranking.take(self.centre, home, OPENING_LIMITS);
        }
        let spilled = self.ranking.spill(home, hash);
        let mut list = self.ranking.take(self.centre, home, OPENING_LIMITS);
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

    /// Returns the candidates of an opening packet, and the anchors of its flow.
    pub(super) fn list_opening_with_anchors(
        &mut self,
        packet: &FlowPacket,
        service: u32,
        hash: u64,
        now: Millis,
    ) -> CandidateList {
        let later = self.list_later(&[service], hash, now);
        let list = self.list_opening(packet, service, hash, now);
        if list.agents.first() != later.agents.first() {
            self.remember_owner(packet, &list.agents, now);
        }
        let firmly_listed = &later.agents[..later.agents.len().min(FIRM_RANKS)];
        let mut owners = list.agents.iter();
        CandidateList {
            is_firm: list.centre == self.centre
                && owners.all(|owner| firmly_listed.contains(owner)),
            anchors: later.anchors,
            ..list
        }
    }

    /// Returns the candidates of a later packet, whose flow may have opened at any of `services`.
    /// Agents of the first one come first in each data centre.
    pub(super) fn list_later(&mut self, services: &[u32], hash: u64, now: Millis) -> CandidateList {
        self.ranking.clear();
        for (index, service) in services.iter().enumerate() {
            let order = u8::try_from(index).unwrap_or(u8::MAX);
            self.add_candidates(*service, order, hash, false, now);
        }
        let home = self.ranking.set_home(self.centre, hash);
        self.ranking.mark_anchors();
        let limits = if home == self.centre {
            LATER_LIMITS
        } else {
            LATER_REMOTE_LIMITS
        };
        self.ranking.take(self.centre, home, limits)
    }

    fn add_candidates(
        &mut self,
        service: u32,
        order: u8,
        hash: u64,
        is_opening: bool,
        now: Millis,
    ) {
        let config = self.config.as_deref();
        let usable = |state: &&AgentState| {
            !is_opening || (state.report.accepts && !state.is_evacuated(config))
        };
        let is_weighed = is_opening && self.options.weigh_servers;
        let candidates = self.agents.of_service(service).filter(usable);
        self.ranking.extend(candidates.map(|state| Candidate {
            rank: CandidateRank {
                suspect: state.is_suspect(now),
                evacuated: state.is_evacuated(config),
                distance: CandidateDistance::Near,
                service: order,
                busy: is_opening && state.is_busy(now),
            },
            cost: if is_weighed {
                weighted_cost(splitmix64(state.hash ^ hash), state.weight.eighths())
            } else {
                0
            },
            score: splitmix64(state.hash ^ hash),
            is_free: is_weighed && state.is_free(now),
            was_full_twice: is_weighed && state.weight.was_full_twice(),
            centre: state.centre,
            address: state.record.address,
            failing: state.is_failing(),
            is_anchor: false,
        }));
    }
}
