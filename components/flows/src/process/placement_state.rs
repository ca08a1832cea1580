//! State of the placement of new flows by the speed and the load of the servers.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::{
    agent_table::AgentState,
    recent_openings::RecentOpenings,
    AgentTable,
    ServiceSpeed,
    SpilledFlow,
    WeightChange, //
};
use crate::version::SiteConfig;

/// Limit of the servers of full services that are probed at a time.
const MAX_PROBES: usize = 32;

/// Age of a report from which a server of a full service is probed. An agent sends one report in 100 ms
/// at most.
const PROBE_AGE: Millis = Millis(50);

/// State of a balancer's placement of new flows, in use if servers are weighed.
#[derive(Debug, Default)]
pub(crate) struct PlacementState {
    /// Time of the first update.
    started: Option<Millis>,
    /// Opening packets that must not be refused.
    pub(crate) recent: RecentOpenings,
    /// The last flow that went to another data centre.
    pub(crate) spilled: Option<SpilledFlow>,
    pub(crate) changes: Vec<WeightChange>,
    /// Servers of full services whose reports are to be renewed.
    pub(crate) probes: Vec<SocketAddrV4>,
    /// Index from which the search for agents to probe continues.
    next_probe: usize,
    /// Scratch space for processing times.
    times: Vec<u32>,
}

impl PlacementState {
    /// Adapts the weights of all servers to their last reports, and chooses the agents to probe, as the
    /// decisions of a full service depend on recent reports. `centre` is the balancer's data centre.
    pub(crate) fn update(
        &mut self,
        agents: &mut AgentTable,
        config: Option<&SiteConfig>,
        centre: u32,
        now: Millis,
    ) {
        let started = *self.started.get_or_insert(now);
        self.changes.clear();
        self.probes.clear();
        let first_probe = self.next_probe;
        let is_usable = |state: &AgentState| state.is_usable(config, now);
        agents.visit_services(|agents, keys| {
            let usable = || {
                let states = keys.iter().map(|key| &agents[*key as usize]);
                states.filter(|state| is_usable(state))
            };
            let compared =
                usable().filter(|state| state.weight.is_current(now) && !state.is_failing());
            let reports = compared.map(|state| &state.report);
            let speed = ServiceSpeed::measure(reports, &mut self.times);
            if is_nearly_full(usable(), centre) {
                let after = keys.partition_point(|key| (*key as usize) < first_probe);
                let (wrapped, next) = keys.split_at(after);
                for key in next.iter().chain(wrapped) {
                    let state = &agents[*key as usize];
                    let is_due = !state.weight.is_reported_within(PROBE_AGE, now)
                        && !state.is_awaited()
                        && is_usable(state);
                    if is_due && self.probes.len() < MAX_PROBES {
                        self.probes.push(state.record.address);
                        self.next_probe = *key as usize + 1;
                    }
                }
            }
            for key in keys {
                let state = &mut agents[*key as usize];
                if state.weight.update(&state.report, speed, started, now) {
                    self.changes.push(WeightChange {
                        agent: state.record.address,
                        report: state.report,
                        eighths: state.weight.eighths(),
                    });
                }
            }
        });
        for address in &self.probes {
            agents.note_sent(*address, now);
        }
    }
}

/// Returns whether at least 7 of 8 usable servers of the balancer's data centre had no free slot when
/// they last reported; all servers count if that data centre has none.
fn is_nearly_full<'a>(usable: impl Iterator<Item = &'a AgentState>, centre: u32) -> bool {
    let (mut near, mut near_full, mut all, mut all_full) = (0, 0, 0, 0);
    for state in usable {
        let is_full = usize::from(state.report.is_full());
        all += 1;
        all_full += is_full;
        if state.centre == centre {
            near += 1;
            near_full += is_full;
        }
    }
    if near == 0 {
        (near, near_full) = (all, all_full);
    }
    near > 0 && near_full * 8 >= near * 7
}
