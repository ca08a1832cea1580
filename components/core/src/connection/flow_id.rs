//! Connection IDs that identify the owner of a flow.

use std::net::SocketAddrV4;

use crate::version::{
    CentreId,
    ServiceId, //
};

/// Length of an issued connection ID, in bytes; the longest that QUIC version 1 allows.
pub const FLOW_ID_LEN: usize = 20;

/// An issued connection ID, as it appears in a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowId(pub [u8; FLOW_ID_LEN]);

impl FlowId {
    /// Converts `bytes` to a connection ID, or returns `None` unless they are [`FLOW_ID_LEN`]
    /// bytes.
    pub fn from_slice(bytes: &[u8]) -> Option<FlowId> {
        bytes.try_into().ok().map(FlowId)
    }

    /// Returns the key phase, 0 to 3, which isn't encrypted.
    pub fn phase(&self) -> u8 {
        self.0[0] >> 6
    }
}

/// The agent that owns a flow, as sealed in the flow's connection ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FlowOwner {
    /// Tunnel address of the agent.
    pub agent: SocketAddrV4,
    /// Service that the flow belongs to.
    pub service: ServiceId,
    /// Data centre of the agent.
    pub centre: CentreId,
    /// Low bits of the agent's incarnation, which distinguish it from the process before a restart.
    pub incarnation: u16,
}
