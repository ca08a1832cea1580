//! Builder of admission controllers.

use super::{
    AdaptiveLimit,
    AdmissionController,
    AimdLimit,
    WarmupRamp, //
};

/// Default queue capacity, in requests.
const DEFAULT_QUEUE_CAPACITY: usize = 256;

/// Default for the part of the limit that bulk requests may not use, in requests.
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
    /// Creates a builder with an AIMD limit, early expiry and the warm-up of a cold server.
    pub fn new(slots: u32) -> AdmissionControllerBuilder {
        AdmissionControllerBuilder {
            slots,
            queue: DEFAULT_QUEUE_CAPACITY,
            limit: AdaptiveLimit::Aimd(AimdLimit::new(slots)),
            ramp: WarmupRamp::default(),
            bulk_reserve: DEFAULT_BULK_RESERVE,
            early_expiry: true,
        }
    }

    /// Sets how many requests may be queued; 256 by default.
    pub fn queue(mut self, capacity: usize) -> AdmissionControllerBuilder {
        self.queue = capacity;
        self
    }

    /// Sets the adaptive limit, which is AIMD by default.
    pub fn limit(mut self, limit: AdaptiveLimit) -> AdmissionControllerBuilder {
        self.limit = limit;
        self
    }

    /// Sets the warm-up ramp, which starts at one request in flight by default.
    pub fn ramp(mut self, ramp: WarmupRamp) -> AdmissionControllerBuilder {
        self.ramp = ramp;
        self
    }

    /// Sets how much of the limit bulk requests may not use while dispatch requests arrive, in
    /// requests; 1 by default.
    pub fn bulk_reserve(mut self, slots: u32) -> AdmissionControllerBuilder {
        self.bulk_reserve = slots;
        self
    }

    /// Sets whether queued requests expire as soon as their remaining time is at most the baseline
    /// latency, rather than at their deadline; enabled by default.
    pub fn early_expiry(mut self, enabled: bool) -> AdmissionControllerBuilder {
        self.early_expiry = enabled;
        self
    }

    /// Builds the controller.
    pub fn build(self) -> AdmissionController {
        AdmissionController::from_builder(self)
    }
}
