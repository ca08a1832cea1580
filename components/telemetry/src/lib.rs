//! Logs, spans and metrics.
//!
//! Each hop of a request opens one span with [`hop_span`], which describes its fields.

mod hop_span;
mod log_limiter;
mod log_setup;
mod metrics_server;
mod telemetry_error;
mod trace_context;

pub use hop_span::{
    hop_span,
    HopKind,
    HOP_TARGET, //
};
pub use log_limiter::LogLimiter;
pub use log_setup::{
    init_logs,
    init_stdout_logs,
    LogGuard, //
};
pub use metrics_server::MetricsServer;
pub use telemetry_error::TelemetryError;
pub use trace_context::TraceContext;
