//! Version of the configuration.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use compact_str::CompactString;

use super::{
    FlowRoute,
    FormerServices,
    ProvisionalState,
    ServiceConfig, //
};

/// One version of the configuration, with the evacuated data centres.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Version number of the routes and services.
    pub version: u64,
    /// Order number of the last change of the configuration or of an evacuation; see
    /// [`StoreRevision`](super::StoreRevision).
    pub revision: u64,
    /// Routes, sorted by address.
    routes: Vec<FlowRoute>,
    /// Services, sorted by name.
    services: Vec<ServiceConfig>,
    /// Time without packets after which the state of a flow may be removed.
    pub idle_timeout: Millis,
    /// Data centres that get no new flows, sorted.
    evacuated_centres: Vec<CompactString>,
    /// Data centres that are evacuated or not for a time only.
    pub provisional: Vec<ProvisionalState>,
    /// Services that routes led to in earlier versions.
    pub former_services: FormerServices,
    /// Time from which `former_services` names every service that may hold an open flow. Before,
    /// flows may be open under versions that the process hasn't seen.
    pub history_complete_at: Millis,
}

impl SiteConfig {
    /// Creates a version with revision zero and no evacuated data centres.
    pub fn new(
        version: u64,
        idle_timeout: Millis,
        routes: impl IntoIterator<Item = FlowRoute>,
        services: impl IntoIterator<Item = ServiceConfig>,
    ) -> SiteConfig {
        let mut routes: Vec<FlowRoute> = routes.into_iter().collect();
        routes.sort_by_key(|route| route.address);
        let mut services: Vec<ServiceConfig> = services.into_iter().collect();
        services.sort_by(|left, right| left.name.cmp(&right.name));
        SiteConfig {
            version,
            revision: 0,
            routes,
            services,
            idle_timeout,
            evacuated_centres: Vec::new(),
            provisional: Vec::new(),
            former_services: FormerServices::default(),
            history_complete_at: Millis::default(),
        }
    }

    /// Replaces the list of evacuated data centres.
    pub fn set_evacuated_centres(&mut self, centres: impl IntoIterator<Item = CompactString>) {
        self.evacuated_centres = centres.into_iter().collect();
        self.evacuated_centres.sort();
    }

    /// Returns the route of an address.
    pub fn route(&self, address: SocketAddrV4) -> Option<&FlowRoute> {
        let found = self
            .routes
            .binary_search_by_key(&address, |route| route.address);
        found.ok().map(|index| &self.routes[index])
    }

    /// Returns the services that may hold an open flow to this address at `now`: those to which its route
    /// leads or led. Returns `None` while earlier versions may have led to others.
    pub fn possible_services(
        &self,
        address: SocketAddrV4,
        now: Millis,
    ) -> Option<impl Iterator<Item = &CompactString>> {
        if now < self.history_complete_at {
            return None;
        }
        let shares = self
            .route(address)
            .into_iter()
            .flat_map(|route| &route.shares);
        let former = self.former_services.services(address, now);
        Some(shares.map(|share| &share.service).chain(former))
    }

    /// Returns the configuration of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        let found = self
            .services
            .binary_search_by(|config| config.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns whether a data centre is evacuated.
    pub fn is_evacuated(&self, centre: &str) -> bool {
        let found = self
            .evacuated_centres
            .binary_search_by(|evacuated| evacuated.as_str().cmp(centre));
        found.is_ok()
    }

    /// Returns the routes, sorted by address.
    pub fn routes(&self) -> &[FlowRoute] {
        &self.routes
    }

    /// Returns the services, sorted by name.
    pub fn services(&self) -> &[ServiceConfig] {
        &self.services
    }

    /// Returns the evacuated data centres, sorted.
    pub fn evacuated_centres(&self) -> &[CompactString] {
        &self.evacuated_centres
    }
}
