//! Conversion between searches for lost flows and datagrams.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_flows::{
    process::QueryReply,
    request::QueriedFlow,
    FlowKey, //
};
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    FlowNotFound,
    FlowQuery,
    FlowQueryReply, //
};

use super::peer_revision::{
    revision_and_era,
    PeerRevisions, //
};

/// Maximum number of flows in a query; one with more is malformed.
const MAX_FLOWS: usize = 64;

/// Encodes the datagram of a flow that no candidate of its packet holds.
pub(crate) fn encode_not_found(flow: &QueriedFlow, packet: &Bytes) -> Vec<u8> {
    FlowDatagram::encode_body(FlowBody::NotFound(FlowNotFound {
        packet: packet.clone(),
        ..encode_flow(flow)
    }))
}

/// Returns the message of a flow, without a packet.
fn encode_flow(flow: &QueriedFlow) -> FlowNotFound {
    FlowNotFound {
        packet: Bytes::new(),
        caller: address_to_number(flow.key.caller),
        service: address_to_number(flow.key.service_address),
        acknowledged: flow.acknowledged,
    }
}

/// Returns the flow of a message; `None` if an address is missing.
pub(crate) fn decode_flow(message: &FlowNotFound) -> Option<QueriedFlow> {
    let is_valid = |address: SocketAddrV4| !address.ip().is_unspecified() && address.port() != 0;
    let key = FlowKey {
        caller: address_from_number(message.caller),
        service_address: address_from_number(message.service),
    };
    (is_valid(key.caller) && is_valid(key.service_address)).then_some(QueriedFlow {
        key,
        acknowledged: message.acknowledged,
    })
}

/// Encodes the datagram of a query.
pub(crate) fn encode_query(balancer: SocketAddrV4, id: u64, flows: &[QueriedFlow]) -> Vec<u8> {
    FlowDatagram::encode_body(FlowBody::Query(FlowQuery {
        id,
        balancer: address_to_number(balancer),
        flows: flows.iter().map(encode_flow).collect(),
    }))
}

/// Returns the flows of a query; `None` if it is malformed.
pub(crate) fn decode_flows(query: &FlowQuery) -> Option<Vec<QueriedFlow>> {
    let is_valid = !query.flows.is_empty() && query.flows.len() <= MAX_FLOWS;
    let flows = query.flows.iter().filter(|_| is_valid);
    let flows: Option<Vec<QueriedFlow>> = flows.map(decode_flow).collect();
    flows.filter(|flows| !flows.is_empty())
}

/// Encodes the datagram of a reply.
pub(crate) fn encode_reply(reply: QueryReply) -> Vec<u8> {
    let (revision, era) = revision_and_era(reply.revision);
    FlowDatagram::encode_body(FlowBody::QueryReply(FlowQueryReply {
        id: reply.id,
        agent: address_to_number(reply.agent),
        absent: reply.absent,
        revision,
        digest: reply.digest,
        era,
    }))
}

/// Returns the reply of a datagram.
pub(crate) fn decode_reply(reply: FlowQueryReply, peers: &PeerRevisions) -> QueryReply {
    QueryReply {
        id: reply.id,
        agent: address_from_number(reply.agent),
        absent: reply.absent,
        revision: peers.order(reply.era, reply.revision),
        digest: reply.digest,
    }
}
