//! Logic for single requests: admission, limits, deadlines, retries and idempotency.

mod adaptive_limit;
mod admission_controller;
mod admission_controller_builder;
mod aimd_limit;
mod gradient_limit;
mod hedge_budget;
mod hedge_delay;
mod hedge_policy;
mod hedge_targets;
mod idempotency_key;
mod latency_baseline;
mod load_meter;
mod outcome_ledger;
mod ranked_queue;
mod request_deadline;
mod request_offer;
mod request_result;
mod retry_budget;
mod run_offer;
mod ticket_arena;
mod warmup_ramp;

pub use adaptive_limit::AdaptiveLimit;
pub use admission_controller::{
    AdmissionController,
    CancelEffect, //
};
pub use admission_controller_builder::AdmissionControllerBuilder;
pub use aimd_limit::AimdLimit;
pub use gradient_limit::GradientLimit;
pub use hedge_budget::{
    HedgeBudget,
    HedgeEnd, //
};
pub use hedge_delay::HedgeDelay;
pub use hedge_policy::{
    HedgeHold,
    HedgeLimits,
    HedgePolicy,
    HedgeRequest, //
};
pub use hedge_targets::{
    HedgeTarget,
    HedgeTargets, //
};
pub use idempotency_key::{
    IdempotencyKey,
    IdempotencyKeyError,
    KEY_NONCE_LEN, //
};
pub use latency_baseline::LatencyBaseline;
pub use load_meter::LoadMeter;
pub use outcome_ledger::{
    FinalOutcome,
    KeyStatus,
    LedgerLimits,
    OutcomeLedger,
    RecordedResponse, //
};
pub use ranked_queue::{
    QueueRank,
    RankedQueue, //
};
pub use request_deadline::{
    DeadlineError,
    RequestDeadline, //
};
pub use request_offer::{
    AdmissionDecision,
    RefusalReason,
    RequestOffer, //
};
pub use request_result::{
    RequestOutcome,
    RequestResult, //
};
pub use retry_budget::RetryBudget;
pub use run_offer::{
    RunOffer,
    RunRefusal, //
};
pub use ticket_arena::RequestTicket;
pub use warmup_ramp::{
    RampGrowth,
    WarmupRamp, //
};
