//! Packets, queries and replies of the simulated network.

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        ResetCause,
        RESET_WINDOW, //
    },
    process::QueryReply,
    request::QueriedFlow,
    FlowKey,
    FlowPacket,
    PacketKind,
    TrackerAction, //
};

use super::{
    balancer_address,
    Message,
    Server,
    World,
    DELAY,
    NUMBER_STEP, //
};
use crate::support::{
    agent,
    backend,
    forward,
    header, //
};

impl World {
    pub(super) fn packet_arrives(&mut self, number: usize, packet: FlowPacket, rest: Vec<u8>) {
        let actions = forward(
            &mut self.agents[number],
            &packet,
            header(&rest),
            Millis(self.now),
        );
        self.act(number, Some(packet), actions);
    }

    pub(super) fn act(
        &mut self,
        number: usize,
        packet: Option<FlowPacket>,
        actions: Vec<TrackerAction>,
    ) {
        for action in actions {
            match action {
                TrackerAction::Deliver => self.serve(number, packet.unwrap()),
                TrackerAction::Redirect { to, header, .. } => {
                    let rest = header
                        .rest
                        .iter()
                        .map(|next| next.ip().octets()[3])
                        .collect();
                    let to = usize::from(to.ip().octets()[3]);
                    let mut packet = packet.unwrap();
                    // The agent clears the mark of a returned packet.
                    packet.returned = false;
                    self.send(Message::Packet(to, packet, rest));
                }
                TrackerAction::Reset(key, number, cause) => {
                    self.check_agent_reset(key, number, cause);
                }
                _ => {}
            }
        }
    }

    /// The server of an agent gets a packet and answers it.
    pub(super) fn serve(&mut self, number: usize, mut packet: FlowPacket) {
        let server = &mut self.servers[number];
        let held = server.held.iter().position(|held| held.0 == packet.key);
        match (held, packet.kind) {
            (None, PacketKind::Open { .. }) => {
                self.next_number += NUMBER_STEP;
                let chosen = self.chosen_number.unwrap_or(self.next_number);
                server.held.push((packet.key, chosen));
                (packet.kind, packet.sequence) = (PacketKind::Accept, chosen);
            }
            (Some(index), PacketKind::Reset) => {
                server.held.remove(index);
                return;
            }
            (Some(index), _) => {
                packet.kind = PacketKind::Data;
                packet.sequence = server.held[index].1 + 1;
            }
            (None, _) => packet.returned = true,
        }
        let actions = backend(&mut self.agents[number], &packet, Millis(self.now));
        self.act(number, Some(packet), actions);
    }

    /// Checks a reset of an agent. Callers ignore one of a former flow, or of one that they have opened anew since,
    /// whose number is too far from theirs.
    fn check_agent_reset(&mut self, key: FlowKey, number: u32, cause: ResetCause) {
        let is_former = matches!(cause, ResetCause::FormerPacket | ResetCause::FormerPaced);
        self.former_resets += usize::from(is_former);
        if !(is_former || self.has_reopened) || self.heeds(key, number) {
            self.check_reset(key, 0, cause.name());
        }
    }

    /// Checks a reset of a balancer, whose search may have begun before the caller opened the flow anew.
    pub(super) fn check_balancer_reset(&mut self, flow: QueriedFlow, agents: usize) {
        if self.heeds(flow.key, flow.acknowledged) {
            self.check_reset(flow.key, agents, "balancer");
        }
    }

    /// Returns whether the caller accepts a reset with this number.
    fn heeds(&self, key: FlowKey, number: u32) -> bool {
        let flow = self.flows.iter().find(|flow| flow.key == key).unwrap();
        let ahead = number.wrapping_sub(flow.acknowledged);
        ahead.min(ahead.wrapping_neg()) <= RESET_WINDOW
    }

    fn check_reset(&mut self, key: FlowKey, agents: usize, by: &str) {
        let flow = self.flows.iter().position(|flow| flow.key == key).unwrap();
        let number = self.flows[flow].acknowledged - 1;
        let is_held = |server: &Server| server.held.contains(&(key, number));
        if self.servers.iter().any(is_held) {
            self.wrong = Some(format!("{key} at {} by {by}, {agents} agents", self.now));
        }
        self.resets.push((flow, self.now));
    }

    pub(super) fn send(&mut self, message: Message) {
        self.network.push((self.now + DELAY, message));
    }

    pub(super) fn receive(&mut self, message: Message) {
        match message {
            Message::Packet(to, packet, rest) => self.packet_arrives(to, packet, rest),
            Message::Query(balancer, to, id, flows) => {
                let mut actions = Vec::new();
                let address = balancer_address(balancer);
                let now = Millis(self.now);
                let absent = self.agents[to].answer_query(address, &flows, now, &mut actions);
                for action in actions {
                    if let TrackerAction::AnnounceOwner(_, key) = action {
                        self.send(Message::Owner(balancer, key));
                    }
                }
                let reply = QueryReply {
                    id,
                    agent: agent(to as u8),
                    absent: absent.unwrap(),
                    revision: 0,
                    digest: QueriedFlow::digest(&flows),
                };
                self.send(Message::Reply(balancer, reply));
            }
            Message::Reply(balancer, reply) => self.search(balancer, |search, lookup, now, _| {
                search.handle_reply(reply.agent, &reply, lookup, now);
            }),
            Message::Owner(balancer, key) => {
                self.search(balancer, |search, _, _, act| search.note_owner(key, act));
            }
            Message::Ended(balancer, to, revision) => {
                let table = &mut self.balancers[balancer].table;
                let is_ended = table.note_ended(agent(to as u8), revision);
                self.handovers += usize::from(is_ended);
            }
        }
    }
}
