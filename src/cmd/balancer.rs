//! The command `balancer`.

use carobdrum_settings::read_balancer;
use snafu::ResultExt;

use crate::{
    cli::DaemonArgs,
    cmd::daemon_logs::start_logs,
    command_error::{
        BalancerSnafu,
        CommandError,
        SettingsSnafu, //
    }, //
};

/// Runs a balancer until it receives a signal to stop.
///
/// # Errors
///
/// Returns a [`CommandError`] if the settings are invalid or the balancer can't be started.
pub(crate) fn run(args: &DaemonArgs) -> Result<(), CommandError> {
    let settings = read_balancer(&args.settings).context(SettingsSnafu)?;
    start_logs(&settings.log, args.log.as_deref())?;
    carobdrum_balancer::run(settings).context(BalancerSnafu)
}
