//! Builder of admission gates.

use super::{
    AdaptiveLimit,
    AdmissionGate,
    AimdLimit,
    WarmupRamp, //
};

/// Queue capacity unless set, in requests.
const DEFAULT_QUEUE: usize = 256;

/// Builds an [`AdmissionGate`].
#[derive(Clone, Debug)]
pub struct AdmissionGateBuilder {
    pub(super) slots: u32,
    pub(super) queue: usize,
    pub(super) limit: AdaptiveLimit,
    pub(super) ramp: WarmupRamp,
}

impl AdmissionGateBuilder {
    /// Creates the builder of a gate with an AIMD limit in front of a cold server.
    pub fn new(slots: u32) -> AdmissionGateBuilder {
        AdmissionGateBuilder {
            slots,
            queue: DEFAULT_QUEUE,
            limit: AdaptiveLimit::Aimd(AimdLimit::new(slots)),
            ramp: WarmupRamp::new(),
        }
    }

    /// Sets the number of requests that may wait.
    pub fn queue(mut self, capacity: usize) -> AdmissionGateBuilder {
        self.queue = capacity;
        self
    }

    /// Sets the adaptive limit.
    pub fn limit(mut self, limit: AdaptiveLimit) -> AdmissionGateBuilder {
        self.limit = limit;
        self
    }

    /// Sets the warm-up.
    pub fn ramp(mut self, ramp: WarmupRamp) -> AdmissionGateBuilder {
        self.ramp = ramp;
        self
    }

    /// Builds the gate.
    pub fn build(self) -> AdmissionGate {
        AdmissionGate::from_builder(self)
    }
}
