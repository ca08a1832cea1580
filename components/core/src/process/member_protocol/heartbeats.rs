//! Heartbeats of agents.

use std::net::SocketAddrV4;

use super::MemberProtocol;
use crate::{
    process::{
        heartbeat_assignment::balancers_digest,
        ByteClass,
        Heartbeat,
        HeartbeatAck,
        MemberRecord,
        PeerMessage, //
    },
    Millis, //
};

impl MemberProtocol {
    pub(super) fn on_heartbeat(
        &mut self,
        now: Millis,
        from: SocketAddrV4,
        version: u32,
        heartbeat: Heartbeat,
    ) {
        if let Some(record) = heartbeat.member {
            if record.address == from {
                self.apply_record(now, record, false);
            }
        }
        self.observe_key_version(now, heartbeat.key_version, from);
        self.monitor.record_heartbeat(now, from, version);
        let mut ack = self.ack_for(from, Some(heartbeat.balancers_digest));
        let held = self.list.find(from);
        if held.is_some_and(|record| record.incarnation < heartbeat.incarnation) {
            ack.sequence = 0;
        }
        if let Some(record) = held.filter(|record| record.incarnation > heartbeat.incarnation) {
            ack.disputed_record = Some(record.message_copy());
        }
        self.send(
            now,
            ByteClass::Liveness,
            from,
            PeerMessage::HeartbeatAck(ack),
        );
    }

    /// Returns the ack for an agent. It assigns balancers if `digest`, the digest of those that the
    /// agent uses, differs from that of the assignment; without a digest it assigns none.
    pub(super) fn ack_for(&self, agent: SocketAddrV4, digest: Option<u32>) -> HeartbeatAck {
        let mut ack = HeartbeatAck {
            key_version: self.keys.current(),
            ..HeartbeatAck::default()
        };
        let Some(record) = self.list.find(agent) else {
            return ack;
        };
        ack.sequence = record.sequence;
        ack.disputed_record = self.record_to_refute(agent);
        if let Some(digest) = digest {
            let choice = self.assignment.choose(record);
            if balancers_digest(&choice) != digest {
                ack.balancers = choice;
            }
        }
        ack
    }

    /// Returns the record held of a member, if it is a failure report that the member should
    /// refute.
    pub(super) fn record_to_refute(&self, address: SocketAddrV4) -> Option<MemberRecord> {
        let record = self.list.find(address)?;
        record
            .state
            .is_failure_report()
            .then(|| record.message_copy())
    }
}
