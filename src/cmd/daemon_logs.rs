//! Logging of daemons.

use carobdrum_settings::{
    LogFormat,
    LogSettings, //
};
use carobdrum_telemetry::init_logs;
use snafu::ResultExt;

use crate::command_error::{
    CommandError,
    LogsSnafu, //
};

/// Starts logging with the given settings; `filter`, from the command line, overrides their filter.
///
/// # Errors
///
/// Returns [`CommandError::Logs`] if `filter` can't be parsed.
pub(crate) fn start_logs(settings: &LogSettings, filter: Option<&str>) -> Result<(), CommandError> {
    let filter = filter.unwrap_or(&settings.filter);
    init_logs(settings.format == LogFormat::Json, filter).context(LogsSnafu)
}
