//! Command line of carobdrum, a layer-4 load balancer.

mod change_summary;
mod cli;
mod cmd;
mod command_error;
mod demo_error;

use std::process::ExitCode;

use clap::Parser;

use crate::cli::Cli;

fn main() -> ExitCode {
    let outcome = match Cli::try_parse() {
        Ok(cli) => cmd::run(cli.command),
        Err(error) => cmd::explain_usage(&error),
    };
    cmd::finish(outcome)
}
