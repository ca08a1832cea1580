//! Agents of the services.

use super::{
    AgentState,
    AgentTable, //
};

/// Agents of a service, as indices into the table.
#[derive(Debug)]
pub(super) struct ServiceAgents {
    /// Hash of the service's name.
    service: u32,
    /// All agents, sorted.
    agents: Vec<u32>,
    /// The same agents by the names of their data centres.
    centres: Vec<Vec<u32>>,
}

impl AgentTable {
    /// Returns the agents of the service with this name hash.
    pub(crate) fn of_service(&self, service: u32) -> impl Iterator<Item = &AgentState> {
        let found = self.find_service(service).ok();
        let keys = found.map_or(&[][..], |index| &self.services[index].agents[..]);
        keys.iter().map(|key| &self.agents[*key as usize])
    }

    /// Returns the agents of the service with this name hash and their indices, by data centre. None of the
    /// data centres is empty.
    pub(crate) fn of_service_by_centre(
        &self,
        service: u32,
    ) -> impl Iterator<Item = impl Iterator<Item = (u32, &AgentState)> + Clone> {
        let found = self.find_service(service).ok();
        let centres = found.map_or(&[][..], |index| &self.services[index].centres[..]);
        centres.iter().map(|keys| {
            let keys = keys.iter();
            keys.map(|key| (*key, &self.agents[*key as usize]))
        })
    }

    /// Calls `visit` with the agents and the indices of those of a service, for each service.
    pub(crate) fn visit_services(&mut self, mut visit: impl FnMut(&mut [AgentState], &[u32])) {
        for service in &self.services {
            visit(&mut self.agents, &service.agents);
        }
    }

    /// Assigns the agents to their services anew.
    pub(super) fn index(&mut self) {
        self.services.clear();
        for (key, state) in self.agents.iter().enumerate() {
            let key = key as u32;
            let index = self.find_service(state.service).unwrap_or_else(|index| {
                let service = ServiceAgents {
                    service: state.service,
                    agents: Vec::new(),
                    centres: Vec::new(),
                };
                self.services.insert(index, service);
                index
            });
            let service = &mut self.services[index];
            service.agents.push(key);
            let is_same_centre = |keys: &&mut Vec<u32>| {
                let first = &self.agents[keys[0] as usize];
                first.record.centre == state.record.centre
            };
            match service.centres.iter_mut().find(is_same_centre) {
                Some(keys) => keys.push(key),
                None => service.centres.push(vec![key]),
            }
        }
    }

    fn find_service(&self, service: u32) -> Result<usize, usize> {
        self.services
            .binary_search_by_key(&service, |found| found.service)
    }
}
