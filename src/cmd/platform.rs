//! The command `platform`.

use carobdrum_forwarder::{
    run_agent,
    run_balancer,
    SettingsFile, //
};
use carobdrum_telemetry::init_stdout_logs;
use snafu::ResultExt;

use crate::{
    cli::{
        DaemonArgs,
        PlatformCommand, //
    },
    command_error::{
        CommandError,
        LogsSnafu,
        NodeSnafu,
        SettingsSnafu, //
    }, //
};

/// Log filter unless the command line gives one.
const DEFAULT_FILTER: &str = "info";

/// Runs a role on the users' platform until it receives a signal to stop.
///
/// # Errors
///
/// Returns a [`CommandError`] if the settings are invalid, or the role can't be started or fails.
pub(crate) fn run(command: &PlatformCommand) -> Result<(), CommandError> {
    let (PlatformCommand::Balancer(args) | PlatformCommand::Agent(args)) = command;
    let DaemonArgs { settings, log } = args;
    let _guard = init_stdout_logs(log.as_deref().unwrap_or(DEFAULT_FILTER)).context(LogsSnafu)?;
    let file = SettingsFile::read(settings).context(SettingsSnafu)?;
    match command {
        PlatformCommand::Balancer(_) => run_balancer(file).context(NodeSnafu),
        PlatformCommand::Agent(_) => run_agent(file).context(NodeSnafu),
    }
}
