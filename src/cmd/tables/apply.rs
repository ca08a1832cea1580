//! The command `tables apply`.

use carobdrum_store::{
    ApplyOutcome,
    TableEdit, //
};
use compact_str::format_compact;

use crate::{
    cli::ApplyArgs,
    cmd::{
        print,
        tables::{
            author_of,
            block_on,
            client_of,
            table_files::EditedTables, //
        }, //
    },
    command_error::{
        CommandError,
        ConflictSnafu, //
    }, //
};

/// Applies the tables in a folder as a new version.
///
/// # Errors
///
/// Returns faults of the tables, [`CommandError::Conflict`] if another version is in force than the
/// edit's base version, and errors of the store.
pub(crate) fn run(args: &ApplyArgs) -> Result<(), CommandError> {
    let edited = EditedTables::read(&args.folder)?;
    let base = match args.base {
        Some(base) => base,
        None => edited.base()?,
    };
    let mut edit = TableEdit::new(base, edited.routes, edited.pools)
        .author(author_of(&args.edit))
        .comment(args.edit.comment.as_str());
    if let Some(id) = &args.edit.edit_id {
        edit = edit.edit_id(id.as_str());
    }
    let outcome = block_on(client_of(&args.store).apply_version(edit))?;
    print_outcome(outcome)
}

/// Prints the number of the accepted version.
///
/// # Errors
///
/// Returns [`CommandError::Conflict`] if the edit was refused.
pub(super) fn print_outcome(outcome: ApplyOutcome) -> Result<(), CommandError> {
    match outcome {
        ApplyOutcome::Applied(version) => {
            let text = format_compact!("version {} is accepted\n", version.number);
            print(text.as_bytes())
        }
        ApplyOutcome::Refused(report) => ConflictSnafu {
            report: Box::new(report),
        }
        .fail(),
    }
}
