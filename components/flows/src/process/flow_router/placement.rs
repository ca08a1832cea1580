//! Placement of new flows by the speed and the load of the servers.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::FlowRouter;
use crate::{
    process::{
        service_load::ServiceLoad,
        SpilledFlow,
        WeightChange, //
    },
    version::FlowRoute,
};

impl FlowRouter {
    /// Adapts the weights of the servers to their last reports. To be called every 100 ms; does nothing
    /// unless servers are weighed.
    pub fn update_weights(&mut self, now: Millis) {
        if !self.options.weigh_servers {
            return;
        }
        let config = self.config.as_deref();
        self.placement
            .update(&mut self.agents, config, self.centre, now);
    }

    /// Returns the weights that the last update changed.
    pub fn weight_changes(&self) -> &[WeightChange] {
        &self.placement.changes
    }

    /// Returns the agents that are to be probed since the last update, because their service is full and
    /// decisions about its flows need recent reports.
    pub fn load_probes(&self) -> &[SocketAddrV4] {
        &self.placement.probes
    }

    /// Returns the flow of the last packet if it went to another data centre for lack of free slots.
    pub fn take_spilled(&mut self) -> Option<SpilledFlow> {
        self.placement.spilled.take()
    }

    /// Returns whether the flow of an opening packet, of which the caller has sent no other copy, is
    /// refused because the service has no room.
    pub(super) fn lacks_room(
        &self,
        service: u32,
        route: &FlowRoute,
        hash: u64,
        now: Millis,
    ) -> bool {
        let config = self.config.as_deref();
        let agents = self.agents.of_service(service);
        let usable = agents.filter(|state| state.is_usable(config, now));
        let load = ServiceLoad::measure(usable, route, now);
        load.is_some_and(|load| load.refuses(hash)) && !self.placement.recent.may_contain(hash, now)
    }
}
