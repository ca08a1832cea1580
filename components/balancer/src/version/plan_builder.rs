//! Building of a forwarding plan.

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

/// Builds a [`ForwardPlan`] from the version in force, the keys and the members.
#[derive(Default)]
pub struct PlanBuilder {
    plan: ForwardPlan,
}

impl PlanBuilder {
    /// Sets the key ring.
    pub fn keys(mut self, keys: Option<Arc<KeyRing>>) -> PlanBuilder {
        self.plan.keys = keys;
        self
    }

    /// Sets service addresses and taken-out data centres from the version in force.
    pub fn config(mut self, config: &ConfigVersion) -> PlanBuilder {
        self.plan.number = config.number;
        self.plan.addresses = addresses_of(config);
        self.plan.evacuated_centres = config
            .centres
            .iter()
            .filter(|centre| config.pools.is_out(&centre.name))
            .map(|centre| centre.id)
            .collect();
        self.plan.evacuated_centres.sort_unstable();
        self
    }

    /// Adds a target, unless its weight is zero.
    pub fn target(mut self, target: PlanTarget) -> PlanBuilder {
        if target.weight > 0.0 {
            self.plan.targets.push(target);
        }
        self
    }

    /// Returns the plan.
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
    /// Returns the target of a server, or `None` if the version in force gives it no new flows.
    pub fn from_server(
        config: &ConfigVersion,
        name: &str,
        data_centre: &str,
        agent: std::net::SocketAddrV4,
        warmup_level: f32,
    ) -> Option<PlanTarget> {
        let pool = config.pools.pool_for_server(name)?;
        if pool.state == PoolState::Draining || config.pools.is_out(data_centre) {
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
