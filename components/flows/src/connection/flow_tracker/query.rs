//! Answers to balancers that search for flows which no server may hold any more.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;

use super::FlowTracker;
use crate::{
    connection::{
        FlowEntry,
        FlowStage, //
        TrackerAction,
    },
    request::{
        FlowKey,
        FlowPacket,
        PacketKind,
        QueriedFlow, //
    },
};

impl FlowTracker {
    /// Returns the positions of the flows that the server certainly doesn't hold, and announces the
    /// agent to `balancer` as the owner of those that it holds. Returns `None` if lost flows aren't
    /// searched for.
    pub fn answer_query(
        &self,
        balancer: SocketAddrV4,
        flows: &[QueriedFlow],
        now: Millis,
        actions: &mut Vec<TrackerAction>,
    ) -> Option<Vec<u32>> {
        if !self.settings.reset_lost {
            return None;
        }
        let mut absent = Vec::new();
        for (index, flow) in (0..).zip(flows) {
            if self.is_absent(flow, now) {
                absent.push(index);
            } else if self.holds(flow) {
                actions.push(TrackerAction::AnnounceOwner(balancer, flow.key));
            }
        }
        Some(absent)
    }

    /// Returns whether the server certainly doesn't hold a flow. In doubt it may hold it.
    fn is_absent(&self, flow: &QueriedFlow, now: Millis) -> bool {
        let lifetime = self.settings.flow_lifetime;
        if self.recent_flows.may_hold(flow.key, lifetime, now) {
            return false;
        }
        let Some(entry) = self.flows.get(&flow.key) else {
            return self.knows_all_flows(now);
        };
        match entry.stage {
            FlowStage::NotHeld => true,
            FlowStage::Redirected(_) => entry.server_window.is_none() && self.knows_all_flows(now),
            // Another server has accepted the flow that the caller continues.
            FlowStage::Opening => {
                entry.server_window.is_some() && !entry.is_continued_by(flow.acknowledged)
            }
            FlowStage::Open | FlowStage::Unverified | FlowStage::Closed => false,
        }
    }

    fn holds(&self, flow: &QueriedFlow) -> bool {
        let is_held = |entry: &FlowEntry| match entry.stage {
            FlowStage::Open => entry.is_continued_by(flow.acknowledged),
            FlowStage::Opening => {
                entry.server_window.is_some() && entry.is_continued_by(flow.acknowledged)
            }
            _ => false,
        };
        self.flows.get(&flow.key).is_some_and(is_held)
    }

    /// Reports a packet without a further candidate to its balancer, which searches for the flow.
    pub(super) fn report_not_found(
        &self,
        packet: &FlowPacket,
        balancer: SocketAddrV4,
        actions: &mut Vec<TrackerAction>,
    ) {
        // A caller that resets a flow waits for nothing.
        if self.settings.reset_lost && packet.kind != PacketKind::Reset {
            let flow = QueriedFlow {
                key: packet.key,
                acknowledged: packet.acknowledged,
            };
            actions.push(TrackerAction::NotFound(balancer, flow));
        }
    }

    /// Records what a packet of the server shows of a flow whose entry may say otherwise.
    pub(super) fn note_server_packet(&mut self, packet: &FlowPacket, now: Millis) {
        if !self.settings.reset_lost {
            return;
        }
        if packet.kind == PacketKind::Reset || (packet.returned && !packet.is_open()) {
            self.recent_flows.remove(packet.key);
            return;
        }
        if packet.returned {
            return;
        }
        let is_recorded = self.flows.get(&packet.key).is_some_and(|entry| {
            let is_other_flow = packet.kind == PacketKind::Accept
                && entry
                    .server_window
                    .is_some_and(|window| window.first() != packet.sequence);
            let is_elsewhere = matches!(entry.stage, FlowStage::NotHeld | FlowStage::Redirected(_));
            !is_elsewhere && !is_other_flow
        });
        if !is_recorded {
            self.recent_flows.insert(packet.key, now);
        }
    }

    /// Records a flow whose entry is removed while the server may still hold it.
    pub(super) fn note_removed(&mut self, key: FlowKey, entry: &FlowEntry) {
        if self.settings.reset_lost && entry.may_be_held() {
            self.recent_flows.insert(key, entry.last_used);
        }
    }
}
