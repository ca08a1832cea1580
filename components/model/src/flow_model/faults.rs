//! Beginnings and ends of faults.

use std::sync::Arc;

use carobdrum_core::Millis;
use compact_str::CompactString;

use super::{
    balancer_address,
    centre_name,
    site_config, //
    FlowModel,
};
use crate::{model_server::ModelServer, FaultKind};

impl FlowModel {
    pub(super) fn begin_fault(&mut self, key: u16) {
        let fault = self.experiment.faults[usize::from(key)];
        let count = usize::from(fault.count);
        let end = self.now.plus(Millis(fault.for_ms));
        match fault.kind {
            FaultKind::Balancers => self.stop_balancers(count, end),
            FaultKind::Rotation => {
                for balancer in self.balancers.iter_mut().take(count) {
                    balancer.out_of_rotation_until = end;
                }
            }
            FaultKind::Agents => self.stop_agents(count, end, false),
            FaultKind::Servers => self.stop_agents(count, end, true),
            FaultKind::All => {
                self.stop_balancers(usize::MAX, end);
                self.stop_agents(usize::MAX, end, true);
            }
            FaultKind::Evacuate => self.set_evacuated_centres([centre_name(0)]),
            FaultKind::Failing => {
                for agent in self.agents.iter_mut().take(count) {
                    agent.server.failing = true;
                }
            }
            FaultKind::Burst => self.load_factor = f64::from(fault.count),
        }
    }

    pub(super) fn end_fault(&mut self, key: u16) {
        let fault = self.experiment.faults[usize::from(key)];
        match fault.kind {
            FaultKind::Evacuate => self.set_evacuated_centres([]),
            FaultKind::Failing => {
                for agent in &mut self.agents {
                    agent.server.failing = false;
                }
            }
            FaultKind::Burst => self.load_factor = 1.0,
            _ => {}
        }
    }

    pub(super) fn stop_balancers(&mut self, count: usize, end: Millis) {
        for index in 0..self.balancers.len().min(count) {
            let centre = self.balancers[index].centre;
            let number = (index % usize::from(self.experiment.balancers)) as u8;
            let router = self.new_router(centre, balancer_address(centre, number));
            self.balancers[index].router = router;
            self.balancers[index].down_until = end;
        }
    }

    pub(super) fn stop_agents(&mut self, count: usize, end: Millis, with_servers: bool) {
        for index in 0..self.agents.len().min(count) {
            let (centre, address) = (self.agents[index].centre, self.agents[index].address);
            let tracker = self.new_tracker(centre, address);
            let agent = &mut self.agents[index];
            agent.tracker = tracker;
            agent.down_until = end;
            if with_servers {
                agent.incarnation += 1;
                agent.server =
                    ModelServer::new(index as u16, self.experiment.slots, self.experiment.queue);
            }
        }
    }

    pub(super) fn set_evacuated_centres(
        &mut self,
        centres: impl IntoIterator<Item = CompactString>,
    ) {
        let revision = self.config.revision + 1;
        let mut config = site_config(&self.experiment, revision);
        config.set_evacuated_centres(centres);
        self.config = Arc::new(config);
        for agent in &mut self.agents {
            agent.tracker.set_config(self.config.clone(), self.now);
        }
        for balancer in &mut self.balancers {
            balancer.router.config = Some(self.config.clone());
        }
    }
}
