//! What an agent does with a packet.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use crate::request::{
    FlowKey,
    ForwardHead, //
};

/// Why a packet doesn't stay at the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassCause {
    /// The server takes no new flows, or shows no sign of life.
    Unavailable,
    /// The server has returned an opening packet a short time ago.
    Returning,
    /// The data centre is taken out.
    Closed,
    /// The route of the packet doesn't lead to this service.
    WrongService,
    /// The server is cold and has had its share.
    Cold,
    /// All slots are in use.
    Busy,
    /// The process is about to stop.
    Stopping,
    /// The server doesn't hold the flow.
    NotHeld,
    /// The server didn't answer the opening packet.
    NoAnswer,
    /// The packet goes where the flow's opening packet went.
    Followed,
}

impl PassCause {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PassCause::Unavailable => "unavailable",
            PassCause::Returning => "returning",
            PassCause::Closed => "closed",
            PassCause::WrongService => "wrong_service",
            PassCause::Cold => "cold",
            PassCause::Busy => "busy",
            PassCause::Stopping => "stopping",
            PassCause::NotHeld => "not_held",
            PassCause::NoAnswer => "no_answer",
            PassCause::Followed => "followed",
        }
    }
}

/// What an agent does with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperAction {
    /// Give it to the backend server.
    Deliver,
    /// Send it to another agent.
    PassOn {
        /// The flow.
        key: FlowKey,
        /// The agent.
        to: SocketAddrV4,
        /// What accompanies the packet.
        head: ForwardHead,
        /// The packet, if it isn't the one at hand.
        stored: Option<Bytes>,
        /// Why.
        cause: PassCause,
    },
    /// Send it to the caller.
    ToCaller,
    /// Reset a flow that no server was offered.
    Refuse(FlowKey, PassCause),
    /// Tell a balancer that this agent owns the flow.
    Hint(SocketAddrV4, FlowKey),
    /// Nothing; the server has begun to answer the request, after this time.
    Answered(FlowKey, Millis),
    /// Send nothing.
    Drop(FlowKey, PassCause),
}
