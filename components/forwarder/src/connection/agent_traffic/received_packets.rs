//! Datagrams that an agent receives from balancers, other agents and its backend server.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::QueryReply,
    request::QueriedFlow,
    FlowKey,
    PacketKind, //
    TrackerAction,
};
use carobdrum_platform::{
    clear_internal_fields,
    decode_backend_packet,
    decode_caller_packet,
    is_server_failure,
    read_attempt_id, //
};
use carobdrum_telemetry::HopKind;
use carobdrum_wire::flow_datagram::{
    address_from_number,
    FlowBody,
    FlowDatagram,
    FlowQuery,
    ForwardedPacket, //
};
use prost::Message;
use tracing::debug;

use super::AgentTraffic;
use crate::connection::{
    header_codec::{
        decode_header,
        decode_owner, //
    },
    query_codec::{
        decode_flows,
        encode_reply, //
    },
    udp_endpoint::READ_BATCH,
};

impl AgentTraffic {
    pub(super) fn read_forwards(&mut self) {
        let now = self.clock.now();
        for _ in 0..READ_BATCH {
            let Some((bytes, from)) = self.packets.receive(now) else {
                return;
            };
            let bytes = Bytes::copy_from_slice(bytes);
            let body = FlowDatagram::decode(bytes).ok().and_then(|read| read.body);
            match body {
                Some(FlowBody::Forward(forwarded)) => self.handle_forwarded(forwarded, now),
                Some(FlowBody::Probe(probe)) => {
                    let balancer = address_from_number(probe.balancer);
                    let revision = self.peers.order(probe.era, probe.revision);
                    self.peers.raise(revision, *balancer.ip());
                    self.note_balancer(balancer, None, now);
                }
                Some(FlowBody::Owner(owner)) => {
                    let (key, agent) = decode_owner(&owner);
                    self.tracker.record_owner(key, agent, now);
                }
                Some(FlowBody::Query(query)) => self.answer_query(&query, now),
                _ => debug!(%from, "datagram dropped: not for an agent"),
            }
        }
    }

    /// Answers a balancer that searches for lost flows.
    fn answer_query(&mut self, query: &FlowQuery, now: Millis) {
        let Some(flows) = decode_flows(query) else {
            self.metrics.malformed.inc();
            return;
        };
        let balancer = address_from_number(query.balancer);
        let mut absent = None;
        self.run_tracker(|tracker, actions| {
            absent = tracker.answer_query(balancer, &flows, now, actions);
        });
        let Some(absent) = absent else {
            return;
        };
        debug!(%balancer, id = query.id, flows = flows.len(), absent = absent.len(), "query answered");
        let seen = self.peers.highest();
        let reply = QueryReply {
            id: query.id,
            agent: self.address,
            absent,
            revision: self.tracker.revision().max(seen),
            digest: QueriedFlow::digest(&flows),
        };
        self.packets.send(&encode_reply(reply), balancer);
    }

    fn handle_forwarded(&mut self, forwarded: ForwardedPacket, now: Millis) {
        let packet = match decode_caller_packet(&forwarded.packet) {
            Ok(packet) => packet,
            Err(error) => {
                self.metrics.malformed.inc();
                self.log
                    .malformed(error, address_from_number(forwarded.balancer));
                return;
            }
        };
        let header = decode_header(&forwarded, &self.peers);
        self.peers.raise(header.revision, *header.balancer.ip());
        self.note_balancer(header.balancer, Some(header.centre_hash), now);
        let hops = header.hops;
        let bytes = forwarded.packet;
        let attempt = (packet.data_len > 0).then(|| read_attempt_id(&bytes));
        if let Some(attempt) = attempt.flatten() {
            self.log.arrived(packet.key, &attempt);
        }
        self.copies.note_forwarded(&packet, now);
        let mut actions = std::mem::take(&mut self.actions);
        let arrived = self.packets.drained_at();
        self.tracker
            .handle_late_forwarded(&packet, &bytes, header, arrived, now, &mut actions);
        if packet.is_open() {
            self.note_opening(packet.key, hops, &actions, now);
        }
        self.act(&mut actions, &bytes);
        self.actions = actions;
    }

    /// Counts, logs and traces an opening packet that goes to the server or to another agent.
    fn note_opening(&mut self, key: FlowKey, hops: u8, actions: &[TrackerAction], now: Millis) {
        for action in actions {
            match action {
                TrackerAction::Deliver => {
                    let report = self.tracker.report(now);
                    self.metrics.opened.inc();
                    self.log.delivered(key, hops, report);
                    self.spans.record_hop(HopKind::Agent, key, self.backend);
                    self.spans.begin_request(key, self.backend);
                }
                TrackerAction::Redirect { to, .. } => {
                    self.spans.record_hop(HopKind::Agent, key, *to)
                }
                _ => {}
            }
        }
    }

    pub(super) fn read_backend(&mut self) {
        let now = self.clock.now();
        let mut actions = std::mem::take(&mut self.actions);
        for _ in 0..READ_BATCH {
            let sent = self.outgoing.drained_at();
            let Some((bytes, _)) = self.outgoing.receive(now) else {
                break;
            };
            let packet = match decode_backend_packet(bytes) {
                Ok(packet) => packet,
                Err(error) => {
                    self.metrics.malformed.inc();
                    self.log.malformed(error, self.backend);
                    continue;
                }
            };
            if packet.returned {
                clear_internal_fields(bytes);
            } else {
                self.tracker.note_activity(sent);
            }
            if packet.kind == PacketKind::Reset && !packet.returned {
                self.log
                    .server_reset(packet.key, self.tracker.stage(packet.key));
            }
            self.tracker.handle_backend(&packet, now, &mut actions);
            let is_response_start =
                |action: &TrackerAction| matches!(action, TrackerAction::ResponseStarted(..));
            if actions.iter().any(is_response_start) {
                self.tracker.record_response(is_server_failure(bytes), now);
            }
            if actions.first() == Some(&TrackerAction::ToCaller) {
                let to = SocketAddrV4::new(*packet.key.caller.ip(), self.address.port());
                self.packets.send(bytes, to);
                self.metrics.response_packets.inc();
                self.copies.note_sent(&packet, bytes, &self.tracker, now);
                self.act(&mut actions, &Bytes::new());
                continue;
            }
            let bytes = Bytes::copy_from_slice(bytes);
            self.act(&mut actions, &bytes);
        }
        self.actions = actions;
        self.report_change(now);
    }
}
