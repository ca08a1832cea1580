//! Logs of the daemons.

use carobdrum_settings::{
    LogFormat,
    LogSettings, //
};
use carobdrum_telemetry::init_logs;
use snafu::ResultExt;

use crate::cmd::{
    command_error::LogsSnafu,
    CommandError, //
};

/// Starts logging as the settings say; `filter` of the command line replaces that of the settings.
///
/// # Errors
///
/// Returns [`CommandError::Logs`] if the filter of the command line can't be parsed.
pub(crate) fn start_logs(settings: &LogSettings, filter: Option<&str>) -> Result<(), CommandError> {
    let filter = filter.unwrap_or(&settings.filter);
    init_logs(settings.format == LogFormat::Json, filter).context(LogsSnafu)
}
