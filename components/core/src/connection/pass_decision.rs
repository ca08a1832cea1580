//! Decision of the first candidate about a first packet.

/// Difference of loads below which a flow stays, in 1/128 of the limit. A smaller one passes twice
/// as many flows for no gain in balance, a larger one lets a slow server take more.
pub const PASS_MARGIN: u8 = 8;

/// What the first candidate knows when a first packet arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PassQuestion {
    /// Load of the first candidate itself, where 128 is its limit; exact.
    pub own_load: u8,
    /// Last known load of the second candidate; `None` without a second candidate. A balancer that
    /// has not seen the load yet states 255, so that the flow stays.
    pub second_load: Option<u8>,
    /// Difference of loads below which the flow stays, see [`PASS_MARGIN`].
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
