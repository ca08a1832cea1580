//! Decision of the first candidate about a first packet.

/// Difference of loads below which a flow stays, in 1/128 of the limit. A smaller one passes twice
/// as many flows for no gain in balance, a larger one lets a slow server take more.
pub const REDIRECT_MARGIN: u8 = 8;

/// What the first candidate knows when a first packet arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RedirectInput {
    /// Load of the first candidate itself, where 128 is its limit; exact.
    pub own_load: u8,
    /// Last known load of the second candidate; `None` without a second candidate. A balancer that
    /// has not seen the load yet states 255, so that the flow stays.
    pub second_load: Option<u8>,
    /// Difference of loads below which the flow stays, see [`REDIRECT_MARGIN`].
    pub margin: u8,
    /// Whether the first candidate may take another connection: not draining, and below its limit.
    pub has_room: bool,
}

/// What becomes of a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedirectDecision {
    /// The first candidate accepts the flow.
    Accept,
    /// The datagram goes to the second candidate.
    Redirect,
    /// The flow is refused.
    Refuse,
}

/// Decides whether the first candidate keeps a flow.
pub fn decide_redirect(input: RedirectInput) -> RedirectDecision {
    let Some(second_load) = input.second_load else {
        return if input.has_room {
            RedirectDecision::Accept
        } else {
            RedirectDecision::Refuse
        };
    };
    let is_light = input.own_load <= second_load.saturating_add(input.margin);
    if input.has_room && is_light {
        RedirectDecision::Accept
    } else {
        RedirectDecision::Redirect
    }
}
