//! Packets for agents that don't know whether their servers hold the flows that are searched for.

use bytes::Bytes;
use carobdrum_core::Millis;

use super::LostFlowSearch;
use crate::{
    process::{
        OwnerLookup,
        SearchAction, //
    },
    request::FlowKey,
};

/// Limit of the packets that all searches keep, which bounds their memory to about 2.5 MB.
const MAX_KEPT_PACKETS: usize = 2_048;

impl LostFlowSearch {
    /// Keeps a packet of a flow that is searched for, to be sent to its owner once that is known, and to agents that can
    /// tell only by their servers whether they are the owner.
    pub fn keep_packet(&mut self, key: FlowKey, packet: Bytes) {
        let Some(serial) = self.serials.get(&key) else {
            return;
        };
        if self.packet_count >= MAX_KEPT_PACKETS {
            return;
        }
        if let Ok(index) = self.index_of(*serial) {
            self.packet_count += usize::from(self.searches[index].keep_packet(packet));
        }
    }

    /// Returns the packets that are kept of a flow, for its owner, and forgets them.
    pub fn take_packets(&mut self, key: FlowKey) -> Vec<Bytes> {
        let index = self.serials.get(&key).map(|serial| self.index_of(*serial));
        let Some(Ok(index)) = index else {
            return Vec::new();
        };
        let packets = self.searches[index].take_packets();
        self.packet_count -= packets.len();
        packets
    }

    /// Sends the kept packets of the search at `index` to each agent that was restarted beside its server and doesn't
    /// know whether the server holds the flow, once and within the budget.
    pub(super) fn offer_packets(
        &mut self,
        index: usize,
        lookup: OwnerLookup<'_>,
        now: Millis,
        actions: &mut Vec<SearchAction>,
    ) {
        let search = &mut self.searches[index];
        if search.packets().is_empty() {
            return;
        }
        let unsure = search.unsure_agents();
        if unsure.is_empty() {
            return;
        }
        let key = search.flow.key;
        let owners = lookup.owners_of_services(key.service_address, now);
        for agent in unsure {
            if owners.binary_search(&agent).is_err() {
                continue;
            }
            if !self.offer_budget.take(now) {
                return;
            }
            search.note_offered(agent);
            actions.push(SearchAction::Offer {
                agent,
                key,
                packets: search.packets().to_vec(),
            });
        }
    }
}
