//! Logs, spans and metrics.
