//! One version of the configuration.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use compact_str::CompactString;

use super::{
    FlowRoute,
    ServiceConfig, //
};

/// One version of the configuration, with the data centres that are taken out.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SiteConfig {
    /// Version of the routes and services.
    pub version: u64,
    /// Revision of the store of the last change of the configuration or of a data centre's state.
    pub revision: u64,
    /// Routes, sorted by address.
    routes: Vec<FlowRoute>,
    /// Services, sorted by name.
    services: Vec<ServiceConfig>,
    /// Time after which an idle flow may be forgotten.
    pub idle_time: Millis,
    /// Data centres that get no new flows, sorted.
    evacuated_centres: Vec<CompactString>,
}

impl SiteConfig {
    /// Makes a version out of its routes and services.
    pub fn new(
        version: u64,
        idle_time: Millis,
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
            idle_time,
            evacuated_centres: Vec::new(),
        }
    }

    /// Replaces the list of the data centres that get no new flows.
    pub fn close_centres(&mut self, centres: impl IntoIterator<Item = CompactString>) {
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

    /// Returns the rules of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceConfig> {
        let found = self
            .services
            .binary_search_by(|rules| rules.name.as_str().cmp(name));
        found.ok().map(|index| &self.services[index])
    }

    /// Returns whether a data centre is taken out.
    pub fn is_closed(&self, centre: &str) -> bool {
        let found = self
            .evacuated_centres
            .binary_search_by(|closed| closed.as_str().cmp(centre));
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

    /// Returns the data centres that get no new flows, sorted.
    pub fn evacuated_centres(&self) -> &[CompactString] {
        &self.evacuated_centres
    }
}
