//! The command `completions`.

use clap::CommandFactory;
use clap_complete::generate;

use crate::{
    cli::{
        Cli,
        CompletionsArgs, //
    },
    cmd::print,
    command_error::CommandError, //
};

/// Prints the completion script for a shell.
///
/// # Errors
///
/// Returns [`CommandError::WriteOutput`] if the script can't be written to stdout.
pub(crate) fn run(args: &CompletionsArgs) -> Result<(), CommandError> {
    let mut script = Vec::new();
    generate(args.shell, &mut Cli::command(), "carobdrum", &mut script);
    print(&script)
}
