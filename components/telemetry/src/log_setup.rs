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
        BadFilterSnafu,
        LogsAreSetSnafu, //
    },
    TelemetryError, //
};

/// Directives that come before those of the user, who may replace them. `ractor` opens a span at
/// level info for each actor, whose end would be written like that of a hop.
const FIRST_DIRECTIVES: &str = "ractor=warn";

/// Lines that wait for the writer; more are dropped rather than hold up the process.
const WAITING_LINES: usize = 1_024;

/// Writes the last lines when it is dropped.
#[must_use = "the log ends when the guard is dropped"]
pub struct LogGuard(#[allow(dead_code, reason = "held for its drop")] WorkerGuard);

/// Starts logging to stdout as JSON objects. A thread of its own writes them, so that a reader that
/// is slow or gone never blocks the process; lines that it can't take are dropped.
///
/// # Errors
///
/// Returns [`TelemetryError::BadFilter`] if `filter` can't be parsed, and
/// [`TelemetryError::LogsAreSet`] if the process has set up logs before.
pub fn init_stdout_logs(filter: &str) -> Result<LogGuard, TelemetryError> {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(WAITING_LINES)
        .finish(std::io::stdout());
    let outcome = tracing_subscriber::fmt()
        .with_env_filter(parse_filter(filter)?)
        .with_span_events(FmtSpan::CLOSE)
        .with_writer(writer)
        .json()
        .flatten_event(true)
        .try_init();
    outcome.map_err(|_| LogsAreSetSnafu.build())?;
    Ok(LogGuard(guard))
}

fn parse_filter(filter: &str) -> Result<EnvFilter, TelemetryError> {
    let directives = format_compact!("{FIRST_DIRECTIVES},{filter}");
    EnvFilter::builder()
        .parse(directives)
        .context(BadFilterSnafu { filter })
}

/// Starts logging to stderr, as JSON objects if `format_json` is set and as text otherwise.
///
/// `filter` is in the syntax of `tracing-subscriber`, such as `info,hop=debug`. A span of a hop is
/// written when it closes, with the time it took.
///
/// # Errors
///
/// Returns [`TelemetryError::BadFilter`] if `filter` can't be parsed, and
/// [`TelemetryError::LogsAreSet`] if the process has set up logs before.
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
    outcome.map_err(|_| LogsAreSetSnafu.build())
}
