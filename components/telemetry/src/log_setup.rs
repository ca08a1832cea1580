//! Setup of the log output.

use compact_str::format_compact;
use snafu::ResultExt;
use tracing_appender::non_blocking::{
    NonBlockingBuilder,
    WorkerGuard, //
};
use tracing_subscriber::{
    fmt::format::FmtSpan,
    EnvFilter, //
};

use crate::{
    telemetry_error::{
        InvalidFilterSnafu,
        LogsAlreadySetSnafu, //
    },
    TelemetryError, //
};

/// Filter directives that precede those of the user, who can override them. `ractor` opens a span
/// at level info for each actor, and the end of each would be logged like that of a hop.
const DEFAULT_DIRECTIVES: &str = "ractor=warn";

/// Most lines that wait for the writer. Further ones are dropped, so that the process never blocks.
const MAX_QUEUED_LINES: usize = 1_024;

/// Keeps the log writer running; writes the waiting lines when it is dropped.
#[must_use = "the log ends when the guard is dropped"]
pub struct LogGuard(#[allow(dead_code, reason = "held for its drop")] WorkerGuard);

/// Starts logging to stdout as JSON objects. A separate thread writes them, so that a slow or
/// absent reader never blocks the process; lines that the reader can't take are dropped.
///
/// # Errors
///
/// Returns [`TelemetryError::InvalidFilter`] if `filter` can't be parsed, and
/// [`TelemetryError::LogsAlreadySet`] if the process has set up logs before.
pub fn init_stdout_logs(filter: &str) -> Result<LogGuard, TelemetryError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let outcome = tracing_subscriber::fmt()
        .with_env_filter(parse_filter(filter)?)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .try_init();
    outcome.map_err(|_| LogsAlreadySetSnafu.build())?;
    Ok(LogGuard(guard))
}

fn parse_filter(filter: &str) -> Result<EnvFilter, TelemetryError> {
    let directives = format_compact!("{DEFAULT_DIRECTIVES},{filter}");
    EnvFilter::builder()
        .parse(directives)
        .context(InvalidFilterSnafu { filter })
}

/// Starts logging to stderr, as JSON objects if `format_json` is set and as text otherwise.
///
/// `filter` is in the syntax of `tracing-subscriber`, such as `info,hop=debug`. The span of a hop
/// is logged when it closes, with its duration.
///
/// # Errors
///
/// Returns [`TelemetryError::InvalidFilter`] if `filter` can't be parsed, and
/// [`TelemetryError::LogsAlreadySet`] if the process has set up logs before.
pub fn init_logs(format_json: bool, filter: &str) -> Result<(), TelemetryError> {
    let parsed = parse_filter(filter)?;
    let output = tracing_subscriber::fmt()
        .with_env_filter(parsed)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(std::io::stderr);
    let outcome = if format_json {
        output.json().try_init()
    } else {
        output.with_ansi(false).try_init()
    };
    outcome.map_err(|_| LogsAlreadySetSnafu.build())
}
