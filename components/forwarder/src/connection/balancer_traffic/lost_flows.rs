//! Search of a balancer for flows that no live server holds.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;
use carobdrum_flows::{
    process::{
        LostFlowSearch,
        OwnerLookup,
        SearchAction, //
    },
    request::QueriedFlow,
    FlowKey,
    FlowPacket,
    PacketKind, //
};
use carobdrum_platform::decode_caller_packet;
use carobdrum_wire::flow_datagram::{
    FlowNotFound,
    FlowQueryReply, //
};
use tracing::debug;

use super::BalancerTraffic;
use crate::{
    connection::{
        header_codec::encode_forward,
        query_codec::{
            decode_flow,
            decode_reply,
            encode_query, //
        },
    },
    process::NodeMetrics, //
};

impl BalancerTraffic {
    /// Begins the search for a flow that no candidate of its packet holds.
    pub(super) fn search_flow(&mut self, not_found: FlowNotFound, now: Millis) {
        let Some(flow) = decode_flow(&not_found) else {
            self.metrics.malformed.inc();
            return;
        };
        let mut began = false;
        self.run_search(|search, lookup, actions| {
            began = search.begin(flow, lookup, now, actions);
        });
        if began {
            self.metrics.searched.inc();
        }
        if !not_found.packet.is_empty() {
            self.search.keep_packet(flow.key, not_found.packet);
        }
    }

    /// Ends the search for a flow whose owner has announced itself, and sends that the packets that didn't find it.
    pub(super) fn note_owner(&mut self, key: FlowKey, agent: SocketAddrV4, now: Millis) {
        if !self.search.contains(key) {
            return;
        }
        let packets = self.search.take_packets(key);
        self.run_search(|search, _, actions| search.note_owner(key, actions));
        self.offer_packets(key, agent, packets, now);
    }

    /// Sends packets of a flow to one agent alone.
    fn offer_packets(
        &mut self,
        key: FlowKey,
        agent: SocketAddrV4,
        packets: Vec<Bytes>,
        now: Millis,
    ) {
        for bytes in packets {
            let Some(packet) = decode_caller_packet(&bytes).ok() else {
                self.metrics.malformed.inc();
                continue;
            };
            if packet.key != key || packet.is_open() {
                self.metrics.malformed.inc();
                continue;
            }
            if let Some(header) = self.router.offer_header(&packet, agent, now) {
                self.metrics.offered.inc();
                self.agents.send(&encode_forward(&header, bytes), agent);
            }
        }
    }

    /// Applies the reply of an agent to a query for flows.
    pub(super) fn handle_query_reply(
        &mut self,
        from: SocketAddrV4,
        reply: FlowQueryReply,
        now: Millis,
    ) {
        let reply = decode_reply(reply, &self.peers);
        self.peers.raise(reply.revision, *from.ip());
        self.run_search(|search, lookup, _| search.handle_reply(from, &reply, lookup, now));
    }

    /// Ends the search for the flow of a caller's packet that shows that the caller has given it up, or that a
    /// server has answered.
    pub(super) fn note_caller_packet(&mut self, packet: &FlowPacket) {
        if !self.search.contains(packet.key) {
            return;
        }
        let is_reopened = packet.is_open() || packet.kind == PacketKind::Reset;
        let flow = QueriedFlow {
            key: packet.key,
            acknowledged: packet.acknowledged,
        };
        self.run_search(|search, _, actions| {
            if is_reopened {
                search.note_reopened(flow.key, actions);
            } else {
                search.note_progress(flow, actions);
            }
        });
    }

    pub(super) fn check_searches(&mut self) {
        let now = self.clock.now();
        self.run_search(|search, lookup, actions| search.tick(lookup, now, actions));
    }

    /// Lets the search decide, and carries out its actions.
    pub(super) fn run_search(
        &mut self,
        decide: impl FnOnce(&mut LostFlowSearch, OwnerLookup<'_>, &mut Vec<SearchAction>),
    ) {
        let lookup = OwnerLookup {
            config: self.router.config.as_deref(),
            agents: &self.router.agents,
            newest_revision: self.peers.highest(),
        };
        let mut actions = Vec::new();
        decide(&mut self.search, lookup, &mut actions);
        for action in actions {
            self.act_on_search(action);
        }
        let wanted = self.search.listing_wanted();
        self.listing_wanted.send_if_modified(|known| {
            let is_newer = wanted > *known;
            *known = wanted.max(*known);
            is_newer
        });
    }

    fn act_on_search(&mut self, action: SearchAction) {
        match action {
            SearchAction::Query { agent, id, flows } => {
                let query = encode_query(self.address, id, &flows);
                self.agents.send(&query, agent);
            }
            SearchAction::Offer {
                agent,
                key,
                packets,
            } => {
                debug!(flow = %key, %agent, packets = packets.len(), "packets sent to an agent that may hold the flow");
                self.offer_packets(key, agent, packets, self.clock.now());
            }
            SearchAction::Reset { flow, agents, time } => {
                NodeMetrics::count(&self.metrics.ended_searches, "reset");
                self.log.lost_flow_reset(flow.key, agents, time);
                self.reset_caller(flow.key, flow.acknowledged);
            }
            SearchAction::End(key, end) => {
                NodeMetrics::count(&self.metrics.ended_searches, end.name());
                self.log.search_ended(key, end);
            }
        }
    }
}
