//! The command `tables history`.

use carobdrum_store::TableChanges;
use compact_str::{
    format_compact,
    CompactString, //
};

use crate::{
    change_summary::describe_changes,
    cli::HistoryArgs,
    cmd::{
        print,
        tables::{
            block_on,
            client_of,
            show::summarise, //
        }, //
    },
    command_error::CommandError, //
};

/// Lists versions and what each changed, newest first.
///
/// # Errors
///
/// Returns errors of the store.
pub(crate) fn run(args: &HistoryArgs) -> Result<(), CommandError> {
    // The oldest listed version is compared with the one before it, so one more is fetched.
    let limit = usize::from(args.limit);
    let versions = block_on(client_of(&args.store).history(limit + 1))?;
    let mut text = CompactString::default();
    for (index, version) in versions.iter().take(limit).enumerate() {
        text.push_str(&summarise(version));
        if let Some(older) = versions.get(index + 1) {
            let changes = TableChanges::between(older, version);
            text.push_str(&format_compact!("; {}", describe_changes(&changes)));
        }
        text.push('\n');
    }
    print(text.as_bytes())
}
