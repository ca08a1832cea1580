//! The command `balancer`.

use carobdrum_settings::read_balancer;
use snafu::ResultExt;

use crate::{
    cli::DaemonArgs,
    cmd::{
        command_error::{
            BalancerSnafu,
            SettingsSnafu, //
        },
        daemon_logs::start_logs,
        CommandError, //
    }, //
};

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Returns faults of the settings, and why the balancer can't start.
pub(crate) fn run(args: &DaemonArgs) -> Result<(), CommandError> {
    let settings = read_balancer(&args.settings).context(SettingsSnafu)?;
    start_logs(&settings.log, args.log.as_deref())?;
    carobdrum_balancer::run(settings).context(BalancerSnafu)
}
