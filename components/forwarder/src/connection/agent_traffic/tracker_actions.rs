//! Actions that the flow tracker of an agent decides on.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    FlowKey,
    FlowTracker,
    PacketKind, //
    TrackerAction,
};
use carobdrum_platform::{
    decode_caller_packet,
    reset_packet, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    FlowOwner, //
};

use super::AgentTraffic;
use crate::{
    connection::{
        header_codec::encode_forward,
        query_codec::encode_not_found, //
    },
    process::NodeMetrics, //
};

impl AgentTraffic {
    pub(super) fn act(&mut self, actions: &mut Vec<TrackerAction>, bytes: &Bytes) {
        for action in actions.drain(..) {
            match action {
                TrackerAction::Deliver => {
                    self.metrics.forwarded.inc();
                    self.outgoing.send(bytes, self.backend);
                }
                TrackerAction::DeliverHeld {
                    key,
                    packet,
                    release,
                } => {
                    self.metrics.forwarded.inc();
                    self.outgoing.send(&packet, self.backend);
                    if let Some(release) = release {
                        self.metrics.held.record(release);
                        let report = self.tracker.report(self.clock.now());
                        self.log.released(key, release, report);
                    }
                }
                TrackerAction::Redirect {
                    key,
                    to,
                    header,
                    stored,
                    cause,
                } => {
                    NodeMetrics::count(&self.metrics.redirected, cause.name());
                    self.log.redirected(key, to, &header, cause);
                    let packet = stored.unwrap_or_else(|| bytes.clone());
                    self.packets.send(&encode_forward(&header, packet), to);
                }
                // Already sent by `read_backend`.
                TrackerAction::ToCaller => {}
                TrackerAction::ResponseStarted(key, time) => {
                    self.metrics.response_time.observe(time.0 as f64 / 1_000.0);
                    self.log.response_started(key, time);
                    self.spans.end_request(key);
                }
                TrackerAction::Refuse(key, cause) => {
                    NodeMetrics::count(&self.metrics.refused, cause.name());
                    let report = self.tracker.report(self.clock.now());
                    let refused = Some(retransmission_of(bytes));
                    self.log
                        .not_delivered(key, cause, refused, self.forwards_wait(), report);
                    let to = self.caller_port(key);
                    self.packets.send(&reset_packet(key, 0), to);
                }
                TrackerAction::Reset(key, sequence, cause) => {
                    NodeMetrics::count(&self.metrics.refused, "lost");
                    if cause.is_former() {
                        NodeMetrics::count(&self.metrics.saved.resets, cause.name());
                    }
                    self.log.reset(key, cause);
                    let to = self.caller_port(key);
                    self.packets.send(&reset_packet(key, sequence), to);
                }
                TrackerAction::AnnounceOwner(to, key) => self.announce_owner(to, key),
                TrackerAction::NotFound(balancer, flow) => {
                    self.packets.send(&encode_not_found(&flow, bytes), balancer);
                }
                TrackerAction::Drop(key, cause) => {
                    NodeMetrics::count(&self.metrics.dropped, cause.name());
                    let report = self.tracker.report(self.clock.now());
                    self.log
                        .not_delivered(key, cause, None, self.forwards_wait(), report);
                }
            }
        }
    }

    /// Returns the longest time for which a packet of a caller that is read now may have waited.
    fn forwards_wait(&self) -> Millis {
        self.clock.now().since(self.packets.drained_at())
    }

    pub(super) fn caller_port(&self, key: FlowKey) -> SocketAddrV4 {
        SocketAddrV4::new(*key.caller.ip(), self.address.port())
    }

    fn announce_owner(&mut self, to: SocketAddrV4, key: FlowKey) {
        let owner = FlowDatagram::encode_body(FlowBody::Owner(FlowOwner {
            agent: address_to_number(self.address),
            caller: address_to_number(key.caller),
            service: address_to_number(key.service_address),
        }));
        self.packets.send(&owner, to);
    }

    /// Carries out the actions that the tracker decides without a packet.
    pub(super) fn run_tracker(
        &mut self,
        decide: impl FnOnce(&mut FlowTracker, &mut Vec<TrackerAction>),
    ) {
        let mut actions = std::mem::take(&mut self.actions);
        decide(&mut self.tracker, &mut actions);
        self.act(&mut actions, &Bytes::new());
        self.actions = actions;
    }
}

/// Returns which retransmission of the opening packet this is; zero for the first copy.
fn retransmission_of(bytes: &[u8]) -> u8 {
    match decode_caller_packet(bytes).map(|packet| packet.kind) {
        Ok(PacketKind::Open { retransmission }) => retransmission,
        _ => 0,
    }
}
