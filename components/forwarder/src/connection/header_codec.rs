//! Conversion between headers of forwarded packets and datagrams.

use std::net::SocketAddrV4;

use super::peer_revision::{
    revision_and_era,
    PeerRevisions, //
};
use bytes::Bytes;
use carobdrum_flows::request::{
    BestOffer,
    FlowKey,
    ForwardHeader, //
};
use carobdrum_wire::flow_datagram::{
    address_from_number,
    address_to_number,
    FlowBody,
    FlowDatagram,
    FlowOwner,
    ForwardedPacket, //
};

/// Maximum number of candidates that are read from a datagram; further ones are ignored.
const MAX_CANDIDATES: usize = 32;

/// Maximum number of anchors that are read from a datagram; further ones are ignored.
const MAX_ANCHORS: usize = 4;

/// Encodes a datagram of a header and its packet.
pub(crate) fn encode_forward(header: &ForwardHeader, packet: Bytes) -> Vec<u8> {
    let best = header.best;
    let (revision, era) = revision_and_era(header.revision);
    FlowDatagram::encode_body(FlowBody::Forward(ForwardedPacket {
        balancer: address_to_number(header.balancer),
        centre: header.centre_hash,
        service: header.service_hash,
        revision,
        hops: u32::from(header.hops),
        rest: numbers(&header.rest),
        near: u32::from(header.near),
        best_agent: best.map_or(0, |best| address_to_number(best.agent)),
        best_wait_us: best.map_or(0, |best| best.wait_us),
        assigned: header.assigned,
        delivered: header.delivered,
        packet,
        anchors: numbers(&header.anchors),
        is_firm: header.is_firm,
        silent: u32::from(header.silent),
        era,
    }))
}

/// Returns the header of a forwarded packet. Numbers that are too large are clamped to the maximum.
pub(crate) fn decode_header(forwarded: &ForwardedPacket, peers: &PeerRevisions) -> ForwardHeader {
    let best = BestOffer {
        agent: address_from_number(forwarded.best_agent),
        wait_us: forwarded.best_wait_us,
    };
    ForwardHeader {
        balancer: address_from_number(forwarded.balancer),
        centre_hash: forwarded.centre,
        service_hash: forwarded.service,
        revision: peers.order(forwarded.era, forwarded.revision),
        hops: u8::try_from(forwarded.hops).unwrap_or(u8::MAX),
        rest: addresses(&forwarded.rest, MAX_CANDIDATES),
        near: u8::try_from(forwarded.near).unwrap_or(u8::MAX),
        best: (forwarded.best_agent != 0).then_some(best),
        assigned: forwarded.assigned,
        delivered: forwarded.delivered,
        anchors: addresses(&forwarded.anchors, MAX_ANCHORS),
        is_firm: forwarded.is_firm,
        silent: u8::try_from(forwarded.silent).unwrap_or(u8::MAX),
    }
}

/// Returns the flow and the owner that an announcement names.
pub(crate) fn decode_owner(owner: &FlowOwner) -> (FlowKey, SocketAddrV4) {
    let key = FlowKey {
        caller: address_from_number(owner.caller),
        service_address: address_from_number(owner.service),
    };
    (key, address_from_number(owner.agent))
}

fn numbers(addresses: &[SocketAddrV4]) -> Vec<u64> {
    addresses.iter().copied().map(address_to_number).collect()
}

fn addresses(numbers: &[u64], limit: usize) -> Vec<SocketAddrV4> {
    let numbers = numbers.iter().take(limit);
    numbers.copied().map(address_from_number).collect()
}
