//! Results of the decisions about early copies of packets.

use bytes::Bytes;
use carobdrum_core::Millis;

use crate::request::FlowKey;

/// Reason why a late packet isn't sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResendHold {
    /// Too few acknowledgement times are known; counted when the server retransmits.
    FewSamples,
    /// Acknowledgements usually take so long that the server retransmits before; counted when it does.
    Slow,
    /// So much time has passed that the server retransmits soon.
    Late,
    /// Too many packets of all flows are late, as on a congested link.
    Congested,
    /// The budget is spent.
    Budget,
    /// The packet wasn't kept, since too many were.
    Memory,
    /// The process was paused, so its state may be out of date.
    Paused,
    /// The process is shutting down.
    Stopping,
    /// The data centre is evacuated.
    Evacuated,
}

impl ResendHold {
    /// Returns the name that metrics show.
    pub fn name(self) -> &'static str {
        match self {
            ResendHold::FewSamples => "few_samples",
            ResendHold::Slow => "slow",
            ResendHold::Late => "late",
            ResendHold::Congested => "congested",
            ResendHold::Budget => "budget",
            ResendHold::Memory => "memory",
            ResendHold::Paused => "paused",
            ResendHold::Stopping => "stopping",
            ResendHold::Evacuated => "evacuated",
        }
    }
}

/// What an agent does or counts for a packet that its server sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResendAction {
    /// Send a copy of a packet to the caller.
    Copy {
        /// The flow of the packet.
        key: FlowKey,
        /// The packet as the server sent it.
        packet: Bytes,
        /// Sequence number of the packet.
        sequence: u32,
        /// Time since the server sent it.
        age: Millis,
    },
    /// Count a late packet that isn't sent again.
    Hold(ResendHold),
    /// Count a copy whose use is known now: whether the acknowledgement may be due to it.
    Ended {
        /// False if the acknowledgement came sooner than a round trip after the copy, or the server
        /// retransmitted before.
        is_useful: bool,
    },
}
