//! Conversion between heads of forwarded packets and their datagrams.

use bytes::Bytes;
use carobdrum_flows::request::{
    BestOffer,
    ForwardHead, //
};
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    ForwardedPacket, //
};

/// Most candidates that are read from a datagram.
const MAX_REST: usize = 32;

/// Encodes a packet with what accompanies it.
pub(crate) fn encode_forward(head: &ForwardHead, packet: Bytes) -> Vec<u8> {
    let best = head.best;
    FlowDatagram::encode_body(FlowBody::Forward(ForwardedPacket {
        balancer: address_to_number(head.balancer),
        centre: head.centre,
        service: head.service,
        revision: head.revision,
        hops: u32::from(head.hops),
        rest: head.rest.iter().copied().map(address_to_number).collect(),
        near: u32::from(head.near),
        best_agent: best.map_or(0, |best| address_to_number(best.agent)),
        best_wait_us: best.map_or(0, |best| best.wait_us),
        assigned: head.assigned,
        delivered: head.delivered,
        packet,
    }))
}

/// Decodes what accompanies a packet.
pub(crate) fn decode_head(forwarded: &ForwardedPacket) -> ForwardHead {
    let rest = forwarded.rest.iter().take(MAX_REST);
    let best = BestOffer {
        agent: address_from_number(forwarded.best_agent),
        wait_us: forwarded.best_wait_us,
    };
    ForwardHead {
        balancer: address_from_number(forwarded.balancer),
        centre: forwarded.centre,
        service: forwarded.service,
        revision: forwarded.revision,
        hops: u8::try_from(forwarded.hops).unwrap_or(u8::MAX),
        rest: rest.copied().map(address_from_number).collect(),
        near: u8::try_from(forwarded.near).unwrap_or(u8::MAX),
        best: (forwarded.best_agent != 0).then_some(best),
        assigned: forwarded.assigned,
        delivered: forwarded.delivered,
    }
}
