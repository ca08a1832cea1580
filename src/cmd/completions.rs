//! The command `completions`.

use clap::CommandFactory;
use clap_complete::generate;

use crate::{
    cli::{
        Cli,
        CompletionsArgs, //
    },
    cmd::{
        print,
        CommandError, //
    }, //
};

/// Prints the completions of a shell.
///
/// # Errors
///
/// Returns [`CommandError::Output`] if they can't be written.
pub(crate) fn run(args: &CompletionsArgs) -> Result<(), CommandError> {
    let mut script = Vec::new();
    generate(args.shell, &mut Cli::command(), "carobdrum", &mut script);
    print(&script)
}
