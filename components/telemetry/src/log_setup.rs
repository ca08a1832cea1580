//! Setup of the log output.

use compact_str::format_compact;
use snafu::ResultExt;
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
    let directives = format_compact!("{FIRST_DIRECTIVES},{filter}");
    let parsed = EnvFilter::builder()
        .parse(directives)
        .context(BadFilterSnafu { filter })?;
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
