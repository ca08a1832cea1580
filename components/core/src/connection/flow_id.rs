//! Connection IDs that name the owner of a flow.

use std::net::SocketAddrV4;

use crate::version::{
    CentreId,
    ServiceId, //
};

/// Length of an issued connection ID, in bytes; the longest that QUIC version 1 allows.
pub const FLOW_ID_LEN: usize = 20;

/// A connection ID as it stands in a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub [u8; FLOW_ID_LEN]);

impl FlowId {
    /// Returns the connection ID in `bytes`, or `None` if the length differs.
    pub fn from_slice(bytes: &[u8]) -> Option<FlowId> {
        bytes.try_into().ok().map(FlowId)
    }

    /// Returns the key phase, 0 to 3, in clear text.
    pub fn phase(&self) -> u8 {
        self.0[0] >> 6
    }
}

/// The process that owns a flow, as sealed in its connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowOwner {
    /// Tunnel address of the agent.
    pub agent: SocketAddrV4,
    /// Service that the flow belongs to.
    pub service: ServiceId,
    /// Data centre of the agent.
    pub centre: CentreId,
    /// Low bits of the agent's incarnation, to tell a restarted agent from its predecessor.
    pub incarnation: u16,
}
