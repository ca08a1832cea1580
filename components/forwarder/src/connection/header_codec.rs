//! Conversion between headers of forwarded packets and datagrams.

use bytes::Bytes;
use carobdrum_flows::request::{
    BestOffer,
    ForwardHeader, //
};
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    ForwardedPacket, //
};

/// Maximum number of candidates that are read from a datagram; further ones are ignored.
const MAX_CANDIDATES: usize = 32;

/// Encodes a datagram of a header and its packet.
pub(crate) fn encode_forward(header: &ForwardHeader, packet: Bytes) -> Vec<u8> {
    let best = header.best;
    FlowDatagram::encode_body(FlowBody::Forward(ForwardedPacket {
        balancer: address_to_number(header.balancer),
        centre: header.centre_hash,
        service: header.service_hash,
        revision: header.revision,
        hops: u32::from(header.hops),
        rest: header.rest.iter().copied().map(address_to_number).collect(),
        near: u32::from(header.near),
        best_agent: best.map_or(0, |best| address_to_number(best.agent)),
        best_wait_us: best.map_or(0, |best| best.wait_us),
        assigned: header.assigned,
        delivered: header.delivered,
        packet,
    }))
}

/// Returns the header of a forwarded packet. Numbers that are too large are clamped to the maximum.
pub(crate) fn decode_header(forwarded: &ForwardedPacket) -> ForwardHeader {
    let rest = forwarded.rest.iter().take(MAX_CANDIDATES);
    let best = BestOffer {
        agent: address_from_number(forwarded.best_agent),
        wait_us: forwarded.best_wait_us,
    };
    ForwardHeader {
        balancer: address_from_number(forwarded.balancer),
        centre_hash: forwarded.centre,
        service_hash: forwarded.service,
        revision: forwarded.revision,
        hops: u8::try_from(forwarded.hops).unwrap_or(u8::MAX),
        rest: rest.copied().map(address_from_number).collect(),
        near: u8::try_from(forwarded.near).unwrap_or(u8::MAX),
        best: (forwarded.best_agent != 0).then_some(best),
        assigned: forwarded.assigned,
        delivered: forwarded.delivered,
    }
}
