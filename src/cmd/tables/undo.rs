//! The command `tables undo`.

use carobdrum_store::UndoEdit;
use snafu::OptionExt;

use crate::{
    cli::UndoArgs,
    cmd::tables::{
        apply::print_outcome,
        author_of,
        block_on,
        client_of, //
    },
    command_error::{
        CommandError,
        UnknownVersionSnafu, //
    }, //
};

/// Applies the tables from before an edit as a new version.
///
/// # Errors
///
/// Returns [`CommandError::Conflict`] if the edit isn't the version in force, and errors of the
/// store.
pub(crate) fn run(args: &UndoArgs) -> Result<(), CommandError> {
    let number = args.number;
    let before = number
        .checked_sub(1)
        .context(UnknownVersionSnafu { number })?;
    let to_number = args.to.unwrap_or(before);
    let mut undo = UndoEdit::new(number, to_number)
        .author(author_of(&args.edit))
        .comment(args.edit.comment.as_str());
    if let Some(id) = &args.edit.edit_id {
        undo = undo.edit_id(id.as_str());
    }
    print_outcome(block_on(client_of(&args.store).undo(undo))?)
}
