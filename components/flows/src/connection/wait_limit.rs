//! Longest wait with which a new flow is taken.

use crate::version::FlowRoute;

/// Part of a route's latency objective that a request may wait for a slot, in percent. The rest is
/// for the ways and the work.
const WAIT_PERCENT: u64 = 40;

/// The same part for a later copy of an opening packet, whose caller has waited already.
const COPY_WAIT_PERCENT: u64 = 10;

/// Returns the longest wait, in microseconds, with which a new flow of a route is taken.
///
/// After an outage all callers come back at once. A server whose queue is full then answers each of
/// them late; with a short queue it answers as many, and most of them in time. Callers that have just
/// come go before those that have waited for so long that their answer is late anyway.
pub fn wait_limit_us(route: &FlowRoute, retransmission: u8) -> u32 {
    let percent = if retransmission == 0 {
        WAIT_PERCENT
    } else {
        COPY_WAIT_PERCENT
    };
    let limit = route.latency_objective.0.saturating_mul(1_000) * percent / 100;
    u32::try_from(limit).unwrap_or(u32::MAX)
}
