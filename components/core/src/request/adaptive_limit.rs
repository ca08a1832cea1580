//! Choice of the adaptive limit below the slots.

use super::{
    AimdLimit,
    GradientLimit,
    RequestResult, //
};
use crate::Millis;

/// Adaptive limit of one server.
#[derive(Clone, Debug)]
pub enum AdaptiveLimit {
    /// The slots alone limit.
    Fixed,
    /// Additive increase and multiplicative decrease.
    Aimd(AimdLimit),
    /// Ratio of long-term to short-term latency.
    Gradient(GradientLimit),
}

impl AdaptiveLimit {
    /// Returns the limit, at most `slots`.
    pub fn limit(&self, slots: u32) -> u32 {
        match self {
            AdaptiveLimit::Fixed => slots,
            AdaptiveLimit::Aimd(limit) => limit.limit().min(slots),
            AdaptiveLimit::Gradient(limit) => limit.limit().min(slots),
        }
    }

    /// Takes a result into account; `in_flight` counts the requests before this one ended.
    pub fn record(&mut self, now: Millis, slots: u32, in_flight: u32, result: RequestResult) {
        match self {
            AdaptiveLimit::Fixed => {}
            AdaptiveLimit::Aimd(limit) => limit.record(now, slots, in_flight, result),
            AdaptiveLimit::Gradient(limit) => limit.record(slots, in_flight, result),
        }
    }
}
