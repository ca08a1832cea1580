//! Longest wait with which a new flow is taken.

use crate::version::FlowRoute;

/// Part of a route's latency objective that a request may wait for a slot, in percent. The rest is
/// for the ways and the work.
const WAIT_PERCENT: u64 = 40;

/// Returns the longest wait, in microseconds, with which a new flow of a route is taken.
///
/// After an outage all callers come back at once. A server whose queue is full then answers each of
/// them late; with a short queue it answers as many, and most of them in time.
pub fn wait_limit_us(route: &FlowRoute) -> u32 {
    let limit = route.objective.0.saturating_mul(1_000) * WAIT_PERCENT / 100;
    u32::try_from(limit).unwrap_or(u32::MAX)
}
