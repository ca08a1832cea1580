//! Adaptive concurrency limit of one server, by the configured algorithm.

use super::{
    AimdLimit,
    GradientLimit,
    RequestResult, //
};
use crate::Millis;

/// Adaptive concurrency limit of one server, which never exceeds its slots.
#[derive(Clone, Debug)]
pub enum AdaptiveLimit {
    /// No adaptive limit: all slots may be used.
    Fixed,
    /// Additive increase and multiplicative decrease.
    Aimd(AimdLimit),
    /// Limit scaled by the ratio of long-term to short-term latency.
    Gradient(GradientLimit),
}

impl AdaptiveLimit {
    /// Returns how many requests may run at once, at most `slots`.
    pub fn limit(&self, slots: u32) -> u32 {
        match self {
            AdaptiveLimit::Fixed => slots,
            AdaptiveLimit::Aimd(limit) => limit.limit().min(slots),
            AdaptiveLimit::Gradient(limit) => limit.limit().min(slots),
        }
    }

    /// Adjusts the limit to a result; `in_flight` includes the request that has just ended.
    pub fn record(&mut self, now: Millis, slots: u32, in_flight: u32, result: RequestResult) {
        match self {
            AdaptiveLimit::Fixed => {}
            AdaptiveLimit::Aimd(limit) => limit.record(now, slots, in_flight, result),
            AdaptiveLimit::Gradient(limit) => limit.record(slots, in_flight, result),
        }
    }
}
