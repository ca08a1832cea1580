//! Limit of the queueing delay with which a new flow is accepted.

use crate::version::FlowRoute;

/// Share of a route's latency objective that a request may wait for a slot, in percent. The rest is
/// for the network and the processing.
const WAIT_PERCENT: u64 = 40;

/// The same share for a retransmission of an opening packet, whose caller has already waited.
const RETRANSMISSION_WAIT_PERCENT: u64 = 10;

/// Returns the longest queueing delay, in microseconds, with which a new flow of a route is
/// accepted.
///
/// After an outage all callers return at once. With a full queue, a server then responds late to
/// each of them; with a short queue it serves as many, most of them in time. New callers take
/// precedence over those that have waited so long that their response would be late anyway.
pub fn wait_limit_us(route: &FlowRoute, retransmission: u8) -> u32 {
    let percent = if retransmission == 0 {
        WAIT_PERCENT
    } else {
        RETRANSMISSION_WAIT_PERCENT
    };
    let objective_us = route.latency_objective.0.saturating_mul(1_000);
    let limit = objective_us.saturating_mul(percent) / 100;
    u32::try_from(limit).unwrap_or(u32::MAX)
}
