//! Agents that may hold a flow, as a balancer knows them.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::{
    name_hash,
    AgentTable, //
};
use crate::version::SiteConfig;

/// What a balancer knows of the agents that may hold a flow.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLookup<'a> {
    /// Configuration in force; `None` before the first one.
    pub config: Option<&'a SiteConfig>,
    /// Known agents.
    pub agents: &'a AgentTable,
    /// Highest order number of a configuration that another process has shown.
    pub newest_revision: u64,
}

impl OwnerLookup<'_> {
    /// Returns the agents that may hold a flow to this address at `now`, sorted: those of the services
    /// to which its route leads or led, or all agents while these services aren't known. Agents that
    /// don't accept flows or don't answer are included.
    pub fn owners(&self, service_address: SocketAddrV4, now: Millis) -> Vec<SocketAddrV4> {
        let services = self.services(service_address, now);
        self.agents.possible_or_unconfirmed(services.as_deref())
    }

    /// Returns the agents of the services to which the route of this address leads or led, or all agents while these
    /// services aren't known, sorted. Only these get packets of the flow.
    pub(super) fn owners_of_services(
        &self,
        service_address: SocketAddrV4,
        now: Millis,
    ) -> Vec<SocketAddrV4> {
        let services = self.services(service_address, now);
        self.agents.possible_owners(services.as_deref())
    }

    fn services(&self, service_address: SocketAddrV4, now: Millis) -> Option<Vec<u32>> {
        let config = self.config?;
        config.route(service_address)?;
        let services = config.possible_services(service_address, now)?;
        Some(services.map(|name| name_hash(name)).collect())
    }

    /// Returns whether no process has shown a newer configuration than the one in force here. Under a
    /// newer one the flow may have opened at a service that isn't known here yet.
    pub fn is_config_current(&self) -> bool {
        let revision = self.config.map(|config| config.revision);
        revision.is_some_and(|revision| revision >= self.newest_revision)
    }
}
