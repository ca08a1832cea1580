//! Messages from the traffic thread to the control thread of a balancer about deletions.

use std::net::SocketAddrV4;

/// Message of a balancer's traffic thread about a deletion that an agent has handed over.
#[derive(Clone, Copy, Debug)]
pub(crate) enum HandedOver {
    /// The server of this agent has ended; its registration of this revision is to be deleted.
    Begin(SocketAddrV4, u64),
    /// The agent has sent a packet since, so nothing is to be deleted.
    Cancel(SocketAddrV4),
}
