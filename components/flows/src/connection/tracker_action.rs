//! Actions that an agent carries out for a packet.

use std::net::SocketAddrV4;

use bytes::Bytes;
use carobdrum_core::Millis;

use super::RequestRelease;
use crate::request::{
    FlowKey,
    ForwardHeader,
    QueriedFlow, //
};

/// Reason for which an agent redirects, refuses or drops a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedirectCause {
    /// The server accepts no new flows, or has shown no activity in time.
    Unavailable,
    /// The server has sent no heartbeat since the agent's start.
    Unconfirmed,
    /// It is unclear which of two runs of the server is live.
    Contested,
    /// New flows are paused because the server has recently returned an opening packet.
    Paused,
    /// The data centre is evacuated.
    Evacuated,
    /// The packet's route doesn't lead to the service of this server.
    WrongService,
    /// The server is cold and has reached its limit of new flows.
    Cold,
    /// No slot is free.
    Busy,
    /// The agent is shutting down.
    Stopping,
    /// The server doesn't hold the flow, or the packet has been at too many agents.
    NotHeld,
    /// The server didn't answer the opening packet in time.
    NoAnswer,
    /// The packet follows the flow's opening packet, which was redirected.
    Followed,
    /// The packet is a copy of one that the agent holds.
    Duplicate,
}

impl RedirectCause {
    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            RedirectCause::Unavailable => "unavailable",
            RedirectCause::Unconfirmed => "unconfirmed",
            RedirectCause::Contested => "contested",
            RedirectCause::Paused => "returning",
            RedirectCause::Evacuated => "closed",
            RedirectCause::WrongService => "wrong_service",
            RedirectCause::Cold => "cold",
            RedirectCause::Busy => "busy",
            RedirectCause::Stopping => "stopping",
            RedirectCause::NotHeld => "not_held",
            RedirectCause::NoAnswer => "no_answer",
            RedirectCause::Followed => "followed",
            RedirectCause::Duplicate => "duplicate",
        }
    }
}

/// Reason for which an open flow counts as lost by its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetCause {
    /// The server returned a packet of the flow.
    Returned,
    /// Another run of the server has started.
    Restarted,
    /// The server has ended.
    Ended,
    /// The server's former run held the flow, and a packet of it has come.
    FormerPacket,
    /// The server's former run held the flow, whose caller may be idle.
    FormerPaced,
}

impl ResetCause {
    /// Returns whether a former run of the server held the flow.
    pub fn is_former(self) -> bool {
        matches!(self, ResetCause::FormerPacket | ResetCause::FormerPaced)
    }

    /// Returns the name that logs show.
    pub fn name(self) -> &'static str {
        match self {
            ResetCause::Returned => "returned",
            ResetCause::Restarted => "restarted",
            ResetCause::Ended => "ended",
            ResetCause::FormerPacket => "former_packet",
            ResetCause::FormerPaced => "former_paced",
        }
    }
}

/// An action that an agent carries out for a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerAction {
    /// Send the packet to the backend server.
    Deliver,
    /// Send a packet that was held to the backend server.
    DeliverHeld {
        /// The flow of the packet.
        key: FlowKey,
        /// The packet to send.
        packet: Bytes,
        /// The request that the packet begins; `None` for its further packets.
        release: Option<RequestRelease>,
    },
    /// Send the packet to another agent.
    Redirect {
        /// The flow of the packet.
        key: FlowKey,
        /// The next agent.
        to: SocketAddrV4,
        /// The header to send with the packet.
        header: ForwardHeader,
        /// The packet to send; `None` for the packet that is being handled.
        stored: Option<Bytes>,
        /// Reason for the redirect.
        cause: RedirectCause,
    },
    /// Send the packet to the caller.
    ToCaller,
    /// Reset the flow, whose opening packet was delivered to no server.
    Refuse(FlowKey, RedirectCause),
    /// Reset an open flow that its server has lost, with this sequence number.
    Reset(FlowKey, u32, ResetCause),
    /// Tell a balancer or another agent that this agent owns the flow.
    AnnounceOwner(SocketAddrV4, FlowKey),
    /// Tell a balancer that no candidate holds the flow of a later packet.
    NotFound(SocketAddrV4, QueriedFlow),
    /// Send nothing; report that the server's response began after this time.
    ResponseStarted(FlowKey, Millis),
    /// Drop the packet without an answer.
    Drop(FlowKey, RedirectCause),
}
