//! One flow at an agent.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use crate::request::ForwardHead;

/// What an agent knows of a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FlowStage {
    /// The opening packet was delivered.
    Offered {
        /// First sequence number of the server, once it has accepted.
        server_sequence: Option<u32>,
    },
    /// The server holds the flow.
    Open,
    /// A packet of an unknown flow was delivered, which the server may return.
    Trial,
    /// The server returned a packet, because it doesn't hold the flow.
    Foreign,
    /// The opening packet went to another agent.
    Passed(SocketAddrV4),
    /// One of the ends gave the flow up, or both have finished.
    Closed,
}

/// One flow at an agent.
#[derive(Clone, Debug)]
pub struct FlowEntry {
    /// What is known.
    pub stage: FlowStage,
    /// Start of the request in progress.
    pub request: Option<Millis>,
    /// Last packet.
    pub used: Millis,
    /// Head of the last packet of the caller, for a packet that the server returns.
    pub head: ForwardHead,
    /// Whether the caller has finished.
    pub caller_done: bool,
    /// Whether the server has finished.
    pub server_done: bool,
    /// The opening packet, until the server has answered it.
    pub opening: Option<Bytes>,
}

impl FlowEntry {
    /// Starts with what the first packet tells.
    pub fn new(stage: FlowStage, head: ForwardHead, now: Millis) -> FlowEntry {
        FlowEntry {
            stage,
            request: None,
            used: now,
            head,
            caller_done: false,
            server_done: false,
            opening: None,
        }
    }

    /// Closes the flow if both ends have finished; returns whether they have.
    pub fn close_if_done(&mut self) -> bool {
        let done = self.caller_done && self.server_done;
        if done {
            self.stage = FlowStage::Closed;
        }
        done
    }
}
