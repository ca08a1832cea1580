//! The command `agent`.

use carobdrum_settings::read_agent;
use snafu::ResultExt;

use crate::{
    cli::DaemonArgs,
    cmd::daemon_logs::start_logs,
    command_error::{
        AgentSnafu,
        CommandError,
        SettingsSnafu, //
    }, //
};

/// Runs an agent until it receives a signal to stop.
///
/// # Errors
///
/// Returns a [`CommandError`] if the settings are invalid or the agent can't be started.
pub(crate) fn run(args: &DaemonArgs) -> Result<(), CommandError> {
    let settings = read_agent(&args.settings).context(SettingsSnafu)?;
    start_logs(&settings.log, args.log.as_deref())?;
    carobdrum_agent::run(settings).context(AgentSnafu)
}
