//! The commands, each in its own module.

mod agent;
mod balancer;
mod check;
mod check_report;
mod check_set;
mod checked_file;
mod completions;
mod config_difference;
mod config_rules;
mod daemon_logs;
mod demo;
mod file_kind;
mod load;
mod platform;
mod status;
mod tables;
mod usage;

use std::{
    io::Write,
    process::ExitCode, //
};

pub(crate) use demo::DemoArgs;
pub(crate) use load::LoadArgs;
pub(crate) use usage::explain_usage;

use crate::{
    cli::Command,
    command_error::{
        CommandError,
        WriteOutputSnafu, //
    }, //
};

/// Runs a command.
///
/// # Errors
///
/// Returns the [`CommandError`] with which the command failed.
pub(crate) fn run(command: Command) -> Result<(), CommandError> {
    match command {
        Command::Balancer(args) => balancer::run(&args),
        Command::Agent(args) => agent::run(&args),
        Command::Platform(command) => platform::run(&command),
        Command::Check(args) => check::run(&args),
        Command::Load(args) => load::run(&args),
        Command::Demo(args) => demo::run(&args),
        Command::Status(args) => status::run(&args),
        Command::Tables(command) => tables::run(&command),
        Command::Completions(args) => completions::run(&args),
    }
}

/// Returns the exit code of the process; prints an error to stderr, one line for each fault.
pub(crate) fn finish(outcome: Result<(), CommandError>) -> ExitCode {
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    let mut output = std::io::stderr().lock();
    for line in error.lines() {
        // If stderr is closed, the error can't be reported anywhere.
        if writeln!(output, "{line}").is_err() {
            break;
        }
    }
    ExitCode::from(error.exit_code())
}

/// Writes text to stdout.
///
/// # Errors
///
/// Returns [`CommandError::WriteOutput`] if it can't be written. A closed pipe is no error, since
/// readers such as `head` stop early.
fn print(text: &[u8]) -> Result<(), CommandError> {
    use snafu::ResultExt;

    let mut output = std::io::stdout().lock();
    match output.write_all(text).and_then(|()| output.flush()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        outcome => outcome.context(WriteOutputSnafu),
    }
}
