//! The commands, one file each.

mod agent;
mod balancer;
mod check;
mod check_set;
mod command_error;
mod completions;
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

pub(crate) use command_error::CommandError;
pub(crate) use demo::DemoArgs;
pub(crate) use load::LoadArgs;
pub(crate) use usage::explain_usage;

use crate::{
    cli::Command,
    cmd::command_error::OutputSnafu, //
};

/// Runs a command.
///
/// # Errors
///
/// Returns why the command failed.
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

/// Writes the error, if there is one, to stderr in one line for each fault, and returns the exit
/// code.
pub(crate) fn finish(outcome: Result<(), CommandError>) -> ExitCode {
    let Err(error) = outcome else {
        return ExitCode::SUCCESS;
    };
    let mut output = std::io::stderr().lock();
    for line in error.lines() {
        // Nothing is left to report to if stderr is closed.
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
/// Returns [`CommandError::Output`] if it can't be written. A reader that stops reading early, as
/// `head` does, is no failure.
fn print(text: &[u8]) -> Result<(), CommandError> {
    use snafu::ResultExt;

    let mut output = std::io::stdout().lock();
    match output.write_all(text).and_then(|()| output.flush()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        outcome => outcome.context(OutputSnafu),
    }
}
