//! Candidates of a packet.

use std::net::SocketAddrV4;

/// Candidates of a packet, best first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct CandidateList {
    pub(crate) agents: Vec<SocketAddrV4>,
    /// How many of them are in the flow's data centre and answer.
    pub(crate) near: u8,
    /// Hash of the name of the flow's data centre.
    pub(crate) centre: u32,
    /// Anchors of the flow at its first service.
    pub(crate) anchors: Vec<SocketAddrV4>,
    /// Whether balancers of the caller's data centre find the owner by its rank.
    pub(crate) is_firm: bool,
    /// Number of agents at the end that don't answer; zero for an opening packet.
    pub(crate) silent: u8,
}
