//! Builder of admission gates.

use super::{
    AdaptiveLimit,
    AdmissionController,
    AimdLimit,
    WarmupRamp, //
};

/// Queue capacity unless set, in requests.
const DEFAULT_QUEUE: usize = 256;

/// Part of the limit that bulk requests may not use unless set, in requests.
const DEFAULT_BULK_RESERVE: u32 = 1;

/// Builds an [`AdmissionController`].
#[derive(Clone, Debug)]
pub struct AdmissionControllerBuilder {
    pub(super) slots: u32,
    pub(super) queue: usize,
    pub(super) limit: AdaptiveLimit,
    pub(super) ramp: WarmupRamp,
    pub(super) bulk_reserve: u32,
    pub(super) early_expiry: bool,
}

impl AdmissionControllerBuilder {
    /// Creates the builder of a gate with an AIMD limit in front of a cold server.
    pub fn new(slots: u32) -> AdmissionControllerBuilder {
        AdmissionControllerBuilder {
            slots,
            queue: DEFAULT_QUEUE,
            limit: AdaptiveLimit::Aimd(AimdLimit::new(slots)),
            ramp: WarmupRamp::default(),
            bulk_reserve: DEFAULT_BULK_RESERVE,
            early_expiry: true,
        }
    }

    /// Sets the number of requests that may wait.
    pub fn queue(mut self, capacity: usize) -> AdmissionControllerBuilder {
        self.queue = capacity;
        self
    }

    /// Sets the adaptive limit.
    pub fn limit(mut self, limit: AdaptiveLimit) -> AdmissionControllerBuilder {
        self.limit = limit;
        self
    }

    /// Sets the warm-up.
    pub fn ramp(mut self, ramp: WarmupRamp) -> AdmissionControllerBuilder {
        self.ramp = ramp;
        self
    }

    /// Sets the part of the limit that bulk requests may not use while dispatch requests arrive.
    pub fn bulk_reserve(mut self, slots: u32) -> AdmissionControllerBuilder {
        self.bulk_reserve = slots;
        self
    }

    /// Sets whether a request leaves the queue when less than the usual latency remains.
    pub fn early_expiry(mut self, enabled: bool) -> AdmissionControllerBuilder {
        self.early_expiry = enabled;
        self
    }

    /// Builds the gate.
    pub fn build(self) -> AdmissionController {
        AdmissionController::from_builder(self)
    }
}
