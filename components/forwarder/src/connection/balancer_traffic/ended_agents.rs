//! Agents that have told a balancer that their servers have ended.

use std::net::SocketAddrV4;

use carobdrum_wire::flow_datagram::{
    address_from_number,
    RegistrationEnded, //
};
use tracing::{
    debug,
    info, //
};

use super::BalancerTraffic;
use crate::{
    connection::HandedOver,
    process::NodeMetrics, //
};

impl BalancerTraffic {
    /// Takes over the deletion of a registration. Only the agent itself can hand it over.
    pub(super) fn take_over(&mut self, from: SocketAddrV4, message: &RegistrationEnded) {
        let agent = address_from_number(message.agent);
        let revision = message.revision;
        let is_valid = agent == from && revision != 0 && self.router.options.reset_lost;
        if !is_valid || !self.router.agents.note_ended(agent, revision) {
            debug!(%from, %agent, revision, "end of a registration ignored");
            NodeMetrics::count(&self.metrics.deregistrations, "ignored");
            return;
        }
        // The agent repeats the message, so one that finds the queue full is not missed.
        let _ = self
            .handed_over
            .try_send(HandedOver::Begin(agent, revision));
    }

    /// Records a packet that only an agent that is running sends.
    pub(super) fn note_alive(&mut self, agent: SocketAddrV4) {
        if self.router.agents.note_alive(agent) {
            info!(%agent, "agent counts as an owner of flows again: it has sent a packet");
            // Without room the deletion goes on, which a new registration prevents.
            let _ = self.handed_over.try_send(HandedOver::Cancel(agent));
        }
    }
}
