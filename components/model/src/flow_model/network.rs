//! Datagrams on their way, and what processes and servers do with them.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    request::ForwardHead,
    FlowKey,
    FlowPacket,
    KeeperAction,
    PacketKind,
    RouteAction, //
};
use rand::Rng;

use super::{
    delay_between, //
    FlowModel,
    ModelBalancer,
    CALLER_DELAY,
};
use crate::{
    model_event::{
        ModelDatagram,
        ModelEvent, //
    },
    model_server::ServerAction,
};

impl FlowModel {
    pub(super) fn post(&mut self, datagram: ModelDatagram, delay: Millis) {
        if self.random.random::<f64>() < self.experiment.loss {
            return;
        }
        let key = self.datagrams.len() as u32;
        self.datagrams.push(Some(datagram));
        self.queue
            .add(self.now.plus(delay), ModelEvent::Datagram(key));
    }

    pub(super) fn receive(&mut self, datagram: ModelDatagram) {
        match datagram {
            ModelDatagram::ToBalancer { balancer, packet } => self.route(balancer, packet),
            ModelDatagram::ToAgent { to, head, packet } => self.forward(to, head, packet),
            ModelDatagram::ToCaller { packet } => self.take_answer(packet),
            ModelDatagram::Report {
                balancer,
                agent,
                report,
            } => {
                let now = self.now;
                if let Some(found) = self.find_balancer(balancer) {
                    found.router.roster.take_report(agent, report, now);
                }
            }
            ModelDatagram::Owner {
                balancer,
                agent,
                key,
            } => {
                let now = self.now;
                if let Some(found) = self.find_balancer(balancer) {
                    found.router.hints.insert(key, agent, now);
                }
            }
            ModelDatagram::Probe { balancer, agent } => {
                if let Some(index) = self.find_agent(agent) {
                    self.send_report(index, balancer);
                }
            }
        }
    }

    /// Returns the balancer at an address, if it runs.
    pub(super) fn find_balancer(&mut self, address: SocketAddrV4) -> Option<&mut ModelBalancer> {
        let centre = address.ip().octets()[1] - 1;
        let number = address.ip().octets()[3];
        let per_centre = usize::from(self.experiment.balancers);
        let index = usize::from(centre) * per_centre + usize::from(number);
        let now = self.now;
        let found = self.balancers.get_mut(index);
        found.filter(|balancer| balancer.down <= now)
    }

    /// Returns the index of the agent at an address, if it runs.
    pub(super) fn find_agent(&self, address: SocketAddrV4) -> Option<usize> {
        let index = self
            .agents
            .iter()
            .position(|agent| agent.address == address)?;
        (self.agents[index].down <= self.now).then_some(index)
    }

    pub(super) fn route(&mut self, balancer: u16, packet: FlowPacket) {
        let now = self.now;
        let entry = &mut self.balancers[usize::from(balancer)];
        if entry.down > now {
            return;
        }
        let centre = entry.centre;
        match entry.router.route(&packet, now) {
            RouteAction::Forward { to, head } => self.send_to_agent(centre, to, head, packet),
            RouteAction::Refuse(_) => self.refuse(packet.key),
            RouteAction::Drop(_) => {}
        }
    }

    pub(super) fn send_to_agent(
        &mut self,
        from: u8,
        to: SocketAddrV4,
        head: ForwardHead,
        packet: FlowPacket,
    ) {
        let delay = delay_between(from, to.ip().octets()[1] - 1);
        self.post(ModelDatagram::ToAgent { to, head, packet }, delay);
    }

    pub(super) fn refuse(&mut self, key: FlowKey) {
        let packet = FlowPacket {
            key,
            kind: PacketKind::Reset,
            returned: false,
            sequence: 0,
            acknowledged: 0,
            data_len: 0,
        };
        if self.agents.iter().any(|agent| agent.server.holds(key)) {
            self.tally.wrong_resets += 1;
        }
        self.post(ModelDatagram::ToCaller { packet }, CALLER_DELAY);
    }

    pub(super) fn forward(&mut self, to: SocketAddrV4, head: ForwardHead, packet: FlowPacket) {
        let Some(index) = self.find_agent(to) else {
            return;
        };
        let balancer = head.balancer;
        let mut actions = Vec::new();
        let now = self.now;
        let keeper = &mut self.agents[index].keeper;
        keeper.take_forward(&packet, &Bytes::new(), head, now, &mut actions);
        self.act(index, actions, packet);
        self.send_report(index, balancer);
    }

    pub(super) fn send_report(&mut self, index: usize, balancer: SocketAddrV4) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let report = agent.keeper.report(now);
        let delay = delay_between(agent.centre, balancer.ip().octets()[1] - 1);
        let agent = agent.address;
        let datagram = ModelDatagram::Report {
            balancer,
            agent,
            report,
        };
        self.post(datagram, delay);
    }

    pub(super) fn act(&mut self, index: usize, actions: Vec<KeeperAction>, packet: FlowPacket) {
        let (centre, address) = (self.agents[index].centre, self.agents[index].address);
        for action in actions {
            match action {
                KeeperAction::Deliver => self.deliver(index, packet),
                KeeperAction::PassOn { key, to, head, .. } => {
                    let passed = FlowPacket {
                        returned: false,
                        key,
                        ..packet
                    };
                    self.send_to_agent(centre, to, head, passed);
                }
                KeeperAction::ToCaller => {
                    let delay = CALLER_DELAY;
                    self.post(ModelDatagram::ToCaller { packet }, delay);
                }
                KeeperAction::Refuse(key, _) => self.refuse(key),
                KeeperAction::Hint(balancer, key) => {
                    let delay = delay_between(centre, balancer.ip().octets()[1] - 1);
                    let datagram = ModelDatagram::Owner {
                        balancer,
                        agent: address,
                        key,
                    };
                    self.post(datagram, delay);
                }
                KeeperAction::Answered(..) => {
                    let failed = self.agents[index].server.failing;
                    let now = self.now;
                    self.agents[index].keeper.note_answer(failed, now);
                    self.tally.failed_answers += u32::from(failed);
                }
                KeeperAction::Drop(..) => {}
            }
        }
    }

    pub(super) fn deliver(&mut self, index: usize, packet: FlowPacket) {
        if !packet.is_open() {
            let key = packet.key;
            let held = self.agents[index].server.holds(key);
            let elsewhere = self.agents.iter().any(|agent| agent.server.holds(key));
            self.tally.delivered += u32::from(held);
            self.tally.strayed += u32::from(!held && elsewhere);
        }
        let actions = self.agents[index].server.take(&packet);
        self.serve(index, actions);
    }

    pub(super) fn serve(&mut self, index: usize, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Begin(key) => {
                    let spread = -(1.0 - self.random.random::<f64>()).ln();
                    let work_ms = self.experiment.work_ms * (0.5 + 0.5 * spread);
                    let done = self.now.plus(Millis(work_ms.round() as u64));
                    let (agent, life) = (index as u16, self.agents[index].life);
                    self.queue
                        .add(done, ModelEvent::WorkDone { agent, life, key });
                }
                ServerAction::Send(packet) => {
                    let mut actions = Vec::new();
                    let now = self.now;
                    let agent = &mut self.agents[index];
                    if agent.down <= now {
                        agent.keeper.take_backend(&packet, now, &mut actions);
                        self.act(index, actions, packet);
                    }
                }
            }
        }
    }

    pub(super) fn work_done(&mut self, agent: u16, life: u16, key: FlowKey) {
        let index = usize::from(agent);
        if self.agents[index].life != life {
            return;
        }
        let actions = self.agents[index].server.finish(key);
        self.serve(index, actions);
    }
}
