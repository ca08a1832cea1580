//! Connection IDs of the flows of the demo's callers.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use carobdrum_core::connection::FlowId;
use carobdrum_wire::PacketHeader;

/// Records the connection ID of the latest handshake on each local port of the callers. Clones share
/// the records.
///
/// Packets after the handshake are not recorded, because a flow that ends still sends some while the
/// next one opens on its port.
#[derive(Clone, Default)]
pub(super) struct FlowIds {
    /// Sorted by port.
    latest: Arc<Mutex<Vec<(u16, FlowId)>>>,
}

impl FlowIds {
    /// Records the connection ID of a packet that a caller sends, if it belongs to a handshake.
    pub(super) fn record(&self, caller: SocketAddrV4, packet: &[u8]) {
        let id = match PacketHeader::parse(packet) {
            Some(PacketHeader::Initial(id) | PacketHeader::Long(id)) => FlowId::from_slice(id),
            Some(PacketHeader::Short(_)) | None => return,
        };
        let mut latest = self.lock();
        let found = latest.binary_search_by_key(&caller.port(), |&(port, _)| port);
        match (found, id) {
            (Ok(index), Some(id)) => latest[index].1 = id,
            (Err(index), Some(id)) => latest.insert(index, (caller.port(), id)),
            // The random ID of a first packet may have another length than those that agents issue.
            (Ok(index), None) => {
                latest.remove(index);
            }
            (Err(_), None) => {}
        }
    }

    /// Returns the latest connection ID of a caller's port.
    pub(super) fn latest(&self, port: u16) -> Option<FlowId> {
        let latest = self.lock();
        let found = latest.binary_search_by_key(&port, |&(port, _)| port);
        found.ok().map(|index| latest[index].1)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(u16, FlowId)>> {
        self.latest.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
