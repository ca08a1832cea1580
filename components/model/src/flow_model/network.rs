//! Transport of datagrams, and their handling by processes and servers.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    request::ForwardHeader,
    FlowKey,
    FlowPacket,
    PacketKind,
    RouteAction, //
    TrackerAction,
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
    pub(super) fn send_datagram(&mut self, datagram: ModelDatagram, delay: Millis) {
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
            ModelDatagram::ToAgent { to, header, packet } => self.forward(to, header, packet),
            ModelDatagram::ToCaller { packet } => self.handle_response(packet),
            ModelDatagram::Report {
                balancer,
                agent,
                report,
            } => {
                let now = self.now;
                if let Some(found) = self.find_balancer(balancer) {
                    found.router.agents.apply_report(agent, report, now);
                }
            }
            ModelDatagram::Owner { to, agent, key } => {
                let now = self.now;
                if let Some(index) = self.find_agent(to) {
                    self.agents[index].tracker.record_owner(key, agent, now);
                } else if let Some(found) = self.find_balancer(to) {
                    found.router.owners.insert(key, agent, now);
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
        found.filter(|balancer| balancer.down_until <= now)
    }

    /// Returns the index of the agent at an address, if it runs.
    pub(super) fn find_agent(&self, address: SocketAddrV4) -> Option<usize> {
        let index = self
            .agents
            .iter()
            .position(|agent| agent.address == address)?;
        (self.agents[index].down_until <= self.now).then_some(index)
    }

    pub(super) fn route(&mut self, balancer: u16, packet: FlowPacket) {
        let now = self.now;
        let entry = &mut self.balancers[usize::from(balancer)];
        if entry.down_until > now {
            return;
        }
        let centre = entry.centre;
        let action = entry.router.route(&packet, now);
        self.stats.spilled += u32::from(entry.router.take_spilled().is_some());
        match action {
            RouteAction::Forward { to, header } => self.send_to_agent(centre, to, header, packet),
            RouteAction::Refuse(_) => {
                self.stats.refused += 1;
                self.refuse(packet.key);
            }
            RouteAction::Drop(_) => {}
        }
    }

    pub(super) fn send_to_agent(
        &mut self,
        from: u8,
        to: SocketAddrV4,
        header: ForwardHeader,
        packet: FlowPacket,
    ) {
        let delay = delay_between(from, to.ip().octets()[1] - 1);
        self.send_datagram(ModelDatagram::ToAgent { to, header, packet }, delay);
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
            self.stats.wrong_resets += 1;
        }
        self.send_datagram(ModelDatagram::ToCaller { packet }, CALLER_DELAY);
    }

    pub(super) fn forward(&mut self, to: SocketAddrV4, header: ForwardHeader, packet: FlowPacket) {
        let Some(index) = self.find_agent(to) else {
            return;
        };
        let balancer = header.balancer;
        let mut actions = Vec::new();
        let now = self.now;
        let tracker = &mut self.agents[index].tracker;
        tracker.handle_forwarded(&packet, &Bytes::new(), header, now, &mut actions);
        self.act(index, actions, packet);
        self.send_report(index, balancer);
    }

    pub(super) fn send_report(&mut self, index: usize, balancer: SocketAddrV4) {
        let now = self.now;
        let agent = &mut self.agents[index];
        let report = agent.tracker.report(now);
        let delay = delay_between(agent.centre, balancer.ip().octets()[1] - 1);
        let agent = agent.address;
        let datagram = ModelDatagram::Report {
            balancer,
            agent,
            report,
        };
        self.send_datagram(datagram, delay);
    }

    pub(super) fn act(&mut self, index: usize, actions: Vec<TrackerAction>, packet: FlowPacket) {
        let (centre, address) = (self.agents[index].centre, self.agents[index].address);
        for action in actions {
            match action {
                TrackerAction::Deliver => self.deliver(index, packet),
                TrackerAction::Redirect {
                    key, to, header, ..
                } => {
                    let redirected = FlowPacket {
                        returned: false,
                        key,
                        ..packet
                    };
                    self.send_to_agent(centre, to, header, redirected);
                }
                TrackerAction::ToCaller => {
                    let delay = CALLER_DELAY;
                    self.send_datagram(ModelDatagram::ToCaller { packet }, delay);
                }
                TrackerAction::Refuse(key, _) | TrackerAction::Reset(key, ..) => self.refuse(key),
                TrackerAction::AnnounceOwner(to, key) => {
                    let delay = delay_between(centre, to.ip().octets()[1] - 1);
                    let datagram = ModelDatagram::Owner {
                        to,
                        agent: address,
                        key,
                    };
                    self.send_datagram(datagram, delay);
                }
                TrackerAction::ResponseStarted(..) => {
                    let failed = self.agents[index].server.failing;
                    let now = self.now;
                    self.agents[index].tracker.record_response(failed, now);
                    self.stats.failed_responses += u32::from(failed);
                }
                // The model's routes have one priority, so no request is held.
                TrackerAction::DeliverHeld { .. }
                | TrackerAction::NotFound(..)
                | TrackerAction::Drop(..) => {}
            }
        }
    }

    pub(super) fn deliver(&mut self, index: usize, packet: FlowPacket) {
        if !packet.is_open() {
            let key = packet.key;
            let held = self.agents[index].server.holds(key);
            let elsewhere = self.agents.iter().any(|agent| agent.server.holds(key));
            self.stats.delivered += u32::from(held);
            self.stats.misdelivered += u32::from(!held && elsewhere);
        }
        let actions = self.agents[index].server.handle_packet(&packet);
        self.serve(index, actions);
    }

    pub(super) fn serve(&mut self, index: usize, actions: Vec<ServerAction>) {
        for action in actions {
            match action {
                ServerAction::Begin(key) => {
                    let spread = -(1.0 - self.random.random::<f64>()).ln();
                    let placement = &self.experiment.placement;
                    let work_ms = self.experiment.work_ms
                        * (0.5 + 0.5 * spread)
                        * placement.work_factor(index, self.now.0);
                    let work = Millis(work_ms.round() as u64);
                    if self.now.0 >= placement.measured_from_ms {
                        self.stats.add_work(index, work.0);
                    }
                    let done = self.now.plus(work);
                    let (agent, incarnation) = (index as u16, self.agents[index].incarnation);
                    self.queue.add(
                        done,
                        ModelEvent::WorkDone {
                            agent,
                            incarnation,
                            key,
                        },
                    );
                }
                ServerAction::Send(packet) => {
                    let mut actions = Vec::new();
                    let now = self.now;
                    let agent = &mut self.agents[index];
                    if agent.down_until <= now {
                        if !packet.returned {
                            agent.tracker.note_activity(now);
                        }
                        agent.tracker.handle_backend(&packet, now, &mut actions);
                        self.act(index, actions, packet);
                    }
                }
            }
        }
    }

    pub(super) fn work_done(&mut self, agent: u16, incarnation: u16, key: FlowKey) {
        let index = usize::from(agent);
        if self.agents[index].incarnation != incarnation {
            return;
        }
        let actions = self.agents[index].server.finish_request(key);
        self.serve(index, actions);
    }
}
