//! The commands of `tables`.

mod apply;
mod check;
mod history;
mod show;
mod table_files;
mod undo;
mod utc_time;

use std::future::Future;

use carobdrum_core::OneLine;
use carobdrum_store::{
    StoreClient,
    StoreError, //
};
use compact_str::{
    format_compact,
    CompactString, //
};
use snafu::ResultExt;

pub(crate) use show::summarise;

use crate::{
    cli::{
        EditArgs,
        StoreArgs,
        TablesCommand, //
    },
    command_error::{
        CommandError,
        RuntimeSnafu,
        StoreSnafu, //
    }, //
};

/// Environment variable with the user's name, the default author of an edit.
const USER_VARIABLE: &str = "USER";

/// Runs a command of `tables`.
///
/// # Errors
///
/// Returns the [`CommandError`] with which the command failed.
pub(crate) fn run(command: &TablesCommand) -> Result<(), CommandError> {
    match command {
        TablesCommand::Show(args) => show::run(args),
        TablesCommand::Check(args) => check::run(args),
        TablesCommand::Apply(args) => apply::run(args),
        TablesCommand::History(args) => history::run(args),
        TablesCommand::Undo(args) => undo::run(args),
    }
}

fn client_of(args: &StoreArgs) -> StoreClient {
    StoreClient::new(args.store, args.deployment.as_str())
}

/// Returns the author of an edit; empty if neither the arguments nor the environment give one.
fn author_of(args: &EditArgs) -> CompactString {
    let given = args.author.clone().map(CompactString::from);
    let user = || std::env::var(USER_VARIABLE).ok().map(CompactString::from);
    given.or_else(user).unwrap_or_default()
}

/// Runs a request to the store and waits for its result.
fn block_on<T>(request: impl Future<Output = Result<T, StoreError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    runtime.block_on(request).context(StoreSnafu)
}

/// Formats a text that an author entered, so that it takes one line of output.
fn one_line(text: &str) -> CompactString {
    format_compact!("{}", OneLine(text))
}
