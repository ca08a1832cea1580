//! Agents that are gone: they have said so, or are marked as absent.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
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
    connection::{
        revision_and_era,
        HandedOver, //
    },
    process::NodeMetrics, //
};

impl BalancerTraffic {
    /// Takes over the deletion of a registration. Only the agent itself can hand it over.
    pub(super) fn take_over(&mut self, from: SocketAddrV4, message: &RegistrationEnded) {
        let agent = address_from_number(message.agent);
        let revision = self.peers.order(message.era, message.revision);
        let is_valid = agent == from && message.revision != 0 && self.router.options.reset_lost;
        if !is_valid || !self.router.agents.note_ended(agent, revision) {
            let (revision, era) = revision_and_era(revision);
            debug!(%from, %agent, revision, era, "end of a registration ignored");
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
        if self.router.options.reset_lost && self.router.agents.note_alive(agent) {
            info!(%agent, "agent counts as an owner of flows again: it has sent a packet");
            // Without room the deletion goes on, which a new registration prevents.
            let _ = self.handed_over.try_send(HandedOver::Cancel(agent));
        }
    }

    /// Takes the agents as gone that are marked as absent and have answered no probe. Packets that wait in
    /// the socket, such as after a pause of the process, may be answers.
    pub(super) fn expire_absent(&mut self, now: Millis) {
        if !self.router.options.reset_lost || !self.router.agents.has_marked() {
            return;
        }
        self.agents.check_drained(now);
        for agent in self.router.agents.take_absent(self.agents.drained_at()) {
            info!(%agent, "agent counts as gone: it is marked as absent and doesn't answer");
        }
    }
}
