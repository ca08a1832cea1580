//! Conversion between the messages of the membership logic and their wire format.

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::process::{
    GossipBody,
    Heartbeat,
    HeartbeatAck,
    MemberRecord,
    MemberRole,
    MemberState,
    PeerMessage,
    ProbeBody, //
};
use carobdrum_wire::control::{
    self,
    ControlBody,
    MemberInfo, //
};

const ROLE_BALANCER: u32 = 1;
const ROLE_AGENT: u32 = 2;
const STATE_COLD: u32 = 1;
const STATE_WARM: u32 = 2;
const STATE_DRAINING: u32 = 3;
const STATE_SUSPECT: u32 = 4;
const STATE_DEAD: u32 = 5;

/// Converts a message to its wire format.
pub fn encode_peer(message: PeerMessage) -> ControlBody {
    match message {
        PeerMessage::Heartbeat(heartbeat) => ControlBody::Heartbeat(control::Heartbeat {
            member: heartbeat.member.as_ref().map(encode_record),
            key_version: heartbeat.key_version,
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            balancers_digest: heartbeat.balancers_digest,
        }),
        PeerMessage::HeartbeatAck(ack) => ControlBody::HeartbeatAck(control::HeartbeatAck {
            key_version: ack.key_version,
            balancers: ack.balancers.into_iter().map(encode_address).collect(),
            disputed_record: ack.disputed_record.as_ref().map(encode_record),
            sequence: ack.sequence,
        }),
        PeerMessage::Gossip(gossip) => ControlBody::Gossip(encode_gossip(gossip)),
        PeerMessage::Probe(probe) => ControlBody::Probe(encode_probe(probe)),
        PeerMessage::ProbeAck(probe) => ControlBody::ProbeAck(encode_probe(probe)),
        PeerMessage::ProbeRequest { number, target } => {
            ControlBody::ProbeRequest(control::ProbeRequest {
                number,
                ip: u32::from(*target.ip()),
                port: u32::from(target.port()),
            })
        }
    }
}

/// Converts a message from its wire format. Returns `None` if it is malformed or isn't a message
/// between members.
pub fn decode_peer(body: ControlBody) -> Option<PeerMessage> {
    let message = match body {
        ControlBody::Heartbeat(heartbeat) => PeerMessage::Heartbeat(Heartbeat {
            member: match heartbeat.member {
                Some(member) => Some(decode_record(member)?),
                None => None,
            },
            incarnation: heartbeat.incarnation,
            sequence: heartbeat.sequence,
            balancers_digest: heartbeat.balancers_digest,
            key_version: heartbeat.key_version,
        }),
        ControlBody::HeartbeatAck(ack) => PeerMessage::HeartbeatAck(HeartbeatAck {
            key_version: ack.key_version,
            sequence: ack.sequence,
            balancers: ack.balancers.iter().filter_map(decode_address).collect(),
            disputed_record: ack.disputed_record.and_then(decode_record),
        }),
        ControlBody::Gossip(gossip) => PeerMessage::Gossip(decode_gossip(gossip)),
        ControlBody::Probe(probe) => PeerMessage::Probe(decode_probe(probe)),
        ControlBody::ProbeAck(probe) => PeerMessage::ProbeAck(decode_probe(probe)),
        ControlBody::ProbeRequest(request) => PeerMessage::ProbeRequest {
            number: request.number,
            target: join_address(request.ip, request.port)?,
        },
        _ => return None,
    };
    Some(message)
}

/// Converts records to their wire format.
pub fn encode_records<'a>(records: impl IntoIterator<Item = &'a MemberRecord>) -> Vec<MemberInfo> {
    records.into_iter().map(encode_record).collect()
}

/// Converts records from their wire format, skipping malformed ones.
pub fn decode_records(members: impl IntoIterator<Item = MemberInfo>) -> Vec<MemberRecord> {
    members.into_iter().filter_map(decode_record).collect()
}

fn encode_record(record: &MemberRecord) -> MemberInfo {
    MemberInfo {
        name: record.name.to_string(),
        ip: u32::from(*record.address.ip()),
        port: u32::from(record.address.port()),
        role: match record.role {
            MemberRole::Balancer => ROLE_BALANCER,
            MemberRole::Agent => ROLE_AGENT,
        },
        data_centre: record.data_centre.to_string(),
        region: record.region.to_string(),
        incarnation: record.incarnation,
        sequence: record.sequence,
        state: match record.state {
            MemberState::Cold => STATE_COLD,
            MemberState::Warm => STATE_WARM,
            MemberState::Draining => STATE_DRAINING,
            MemberState::Suspect => STATE_SUSPECT,
            MemberState::Dead => STATE_DEAD,
        },
        slots: record.slots,
        warmup_level: u32::from(record.warmup_level),
    }
}

fn decode_record(info: MemberInfo) -> Option<MemberRecord> {
    let role = match info.role {
        ROLE_BALANCER => MemberRole::Balancer,
        ROLE_AGENT => MemberRole::Agent,
        _ => return None,
    };
    let state = match info.state {
        STATE_COLD => MemberState::Cold,
        STATE_WARM => MemberState::Warm,
        STATE_DRAINING => MemberState::Draining,
        STATE_SUSPECT => MemberState::Suspect,
        STATE_DEAD => MemberState::Dead,
        _ => return None,
    };
    let address = join_address(info.ip, info.port)?;
    let warmup_level = u8::try_from(info.warmup_level).ok()?;
    let record = MemberRecord::builder(role, address, info.incarnation)
        .name(info.name)
        .location(info.data_centre, info.region)
        .sequence(info.sequence)
        .state(state)
        .slots(info.slots, warmup_level)
        .build();
    Some(record)
}

fn encode_gossip(gossip: GossipBody) -> control::Gossip {
    control::Gossip {
        members: encode_records(&gossip.members),
        digest: gossip.digest,
        key_version: gossip.key_version,
    }
}

fn decode_gossip(gossip: control::Gossip) -> GossipBody {
    GossipBody {
        members: decode_records(gossip.members),
        digest: gossip.digest,
        key_version: gossip.key_version,
    }
}

fn encode_probe(probe: ProbeBody) -> control::Probe {
    control::Probe {
        number: probe.number,
        gossip: Some(encode_gossip(probe.gossip)),
        member: probe.member.as_ref().map(encode_record),
        balancers: probe.balancers.into_iter().map(encode_address).collect(),
    }
}

fn decode_probe(probe: control::Probe) -> ProbeBody {
    ProbeBody {
        number: probe.number,
        gossip: probe.gossip.map(decode_gossip).unwrap_or_default(),
        member: probe.member.and_then(decode_record),
        balancers: probe.balancers.iter().filter_map(decode_address).collect(),
    }
}

fn encode_address(address: SocketAddrV4) -> MemberInfo {
    MemberInfo {
        ip: u32::from(*address.ip()),
        port: u32::from(address.port()),
        ..MemberInfo::default()
    }
}

fn decode_address(info: &MemberInfo) -> Option<SocketAddrV4> {
    join_address(info.ip, info.port)
}

fn join_address(ip: u32, port: u32) -> Option<SocketAddrV4> {
    let port = u16::try_from(port).ok().filter(|&port| port != 0)?;
    Some(SocketAddrV4::new(Ipv4Addr::from(ip), port))
}
