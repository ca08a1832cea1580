//! List of a service's agents for another agent of the service.

use carobdrum_core::{
    process::{
        MemberRecord,
        MemberRole,
        MemberState, //
    },
    version::{
        ConfigVersion,
        PoolState, //
    },
};
use carobdrum_wire::control::FetchAgents;

/// Largest number of agents in a list, about 2 KB.
const MAX_AGENTS: usize = 32;

/// Returns warm agents of a service that are neither draining nor evacuated, at first those of the
/// data centre of the agent that asks. Agents that ask with different random numbers get different
/// ones if the service has more than the list can hold.
pub(crate) fn list_agents<'a>(
    config: &ConfigVersion,
    records: impl Iterator<Item = &'a MemberRecord>,
    request: &FetchAgents,
) -> Vec<MemberRecord> {
    let is_usable = |record: &&MemberRecord| {
        let pool = config.pools.pool_for_server(&record.name);
        record.role == MemberRole::Agent
            && record.state == MemberState::Warm
            && !config.pools.is_evacuated(&record.data_centre)
            && pool.is_some_and(|pool| {
                pool.service == request.service && pool.state == PoolState::Active
            })
    };
    let usable = records.filter(is_usable);
    let (mut near, mut far): (Vec<&MemberRecord>, Vec<&MemberRecord>) =
        usable.partition(|record| record.data_centre == request.data_centre);
    for agents in [&mut near, &mut far] {
        let start = request.pick as usize % agents.len().max(1);
        agents.rotate_left(start);
    }
    near.append(&mut far);
    near.into_iter().take(MAX_AGENTS).cloned().collect()
}
