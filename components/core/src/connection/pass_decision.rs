//! Decision of the first candidate about a first packet.

/// What the first candidate knows when a first packet arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassQuestion {
    /// Load of the first candidate itself, in 1/255, exact.
    pub own_load: u8,
    /// Last known load of the second candidate, in 1/255; `None` without a second candidate.
    pub second_load: Option<u8>,
    /// Difference of loads below which the flow stays, in 1/255.
    pub margin: u8,
    /// Whether the first candidate may take another connection: not draining, and below its limit.
    pub has_room: bool,
}

/// What becomes of a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PassVerdict {
    /// The first candidate accepts the flow.
    Keep,
    /// The datagram goes to the second candidate.
    Pass,
    /// The flow is refused.
    Refuse,
}

/// Decides whether the first candidate keeps a flow.
pub fn pass_first_packet(question: PassQuestion) -> PassVerdict {
    let Some(second_load) = question.second_load else {
        return if question.has_room {
            PassVerdict::Keep
        } else {
            PassVerdict::Refuse
        };
    };
    let is_light = question.own_load <= second_load.saturating_add(question.margin);
    if question.has_room && is_light {
        PassVerdict::Keep
    } else {
        PassVerdict::Pass
    }
}
