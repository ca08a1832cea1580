//! Decision of the first candidate to accept a first packet or redirect it.

/// Difference of loads up to which the first candidate accepts a flow, in 1/128 of the limit. A
/// smaller one redirects twice as many flows without better balance; with a larger one, a slow
/// server gets more flows.
pub const REDIRECT_MARGIN: u8 = 8;

/// What the first candidate knows when a first packet arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RedirectInput {
    /// Current load of the first candidate itself, where 128 is its limit. Unlike `second_load`, it
    /// is exact.
    pub own_load: u8,
    /// Last known load of the second candidate; `None` without a second candidate. A balancer that
    /// doesn't know the load yet sends 255, so that the flow is accepted.
    pub second_load: Option<u8>,
    /// Difference of loads up to which the flow is accepted, see [`REDIRECT_MARGIN`].
    pub margin: u8,
    /// Whether the first candidate may accept another connection: it isn't draining and is below
    /// its limit.
    pub has_room: bool,
}

/// What the first candidate does with a first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RedirectDecision {
    /// The first candidate accepts the flow.
    Accept,
    /// The datagram is redirected to the second candidate.
    Redirect,
    /// The flow is refused: the first candidate has no room, and there is no second one.
    Refuse,
}

/// Decides whether the first candidate accepts a flow.
///
/// Without room it redirects the flow whatever the loads are, if there is a second candidate.
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
