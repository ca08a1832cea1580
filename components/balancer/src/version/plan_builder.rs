//! Builder of forwarding plans.

use std::sync::Arc;

use carobdrum_core::version::{
    ConfigVersion,
    KeyRing,
    PoolState, //
};

use super::{
    forward_plan::PlanAddress,
    ForwardPlan,
    PlanTarget, //
};

/// Builds a [`ForwardPlan`] from the version in force, the key ring and the member list.
#[derive(Default)]
pub struct PlanBuilder {
    plan: ForwardPlan,
}

impl PlanBuilder {
    /// Sets the key ring. With `None` no flow is recognised as established.
    pub fn keys(mut self, keys: Option<Arc<KeyRing>>) -> PlanBuilder {
        self.plan.keys = keys;
        self
    }

    /// Sets the service addresses and the evacuated data centres from the version in force.
    pub fn config(mut self, config: &ConfigVersion) -> PlanBuilder {
        self.plan.number = config.number;
        self.plan.addresses = addresses_of(config);
        self.plan.evacuated_centres = config
            .centres
            .iter()
            .filter(|centre| config.pools.is_evacuated(&centre.name))
            .map(|centre| centre.id)
            .collect();
        self.plan.evacuated_centres.sort_unstable();
        self
    }

    /// Adds a target, unless its weight is 0.
    pub fn target(mut self, target: PlanTarget) -> PlanBuilder {
        if target.weight > 0.0 {
            self.plan.targets.push(target);
        }
        self
    }

    /// Returns the plan, with the targets sorted and without duplicates.
    pub fn build(mut self) -> ForwardPlan {
        self.plan
            .targets
            .sort_by_key(|target| (target.service, target.agent));
        self.plan
            .targets
            .dedup_by_key(|target| (target.service, target.agent));
        self.plan
    }
}

impl PlanTarget {
    /// Returns the target for a backend server, or `None` if it gets no new flows because it is in
    /// no pool, its pool is draining or its data centre is evacuated. `warmup_level` is the usable
    /// share of its slots, from 0 to 1.
    pub fn from_server(
        config: &ConfigVersion,
        name: &str,
        data_centre: &str,
        agent: std::net::SocketAddrV4,
        warmup_level: f32,
    ) -> Option<PlanTarget> {
        let pool = config.pools.pool_for_server(name)?;
        if pool.state == PoolState::Draining || config.pools.is_evacuated(data_centre) {
            return None;
        }
        Some(PlanTarget {
            service: config.service_id(&pool.service)?,
            agent,
            weight: pool.slots as f32 * warmup_level,
        })
    }
}

fn addresses_of(config: &ConfigVersion) -> Vec<PlanAddress> {
    let routes = config.routes.routes.iter();
    let mut addresses: Vec<PlanAddress> = routes
        .filter_map(|route| {
            Some(PlanAddress {
                address: route.address,
                service: config.service_id(&route.service)?,
            })
        })
        .collect();
    addresses.sort_unstable_by_key(|entry| entry.address);
    addresses.dedup();
    addresses
}
