//! The command `tables history`.

use carobdrum_store::TableChanges;
use compact_str::{
    format_compact,
    CompactString, //
};

use crate::{
    cli::HistoryArgs,
    cmd::{
        print,
        tables::{
            client_of,
            describe_changes,
            show::summarise,
            wait_for, //
        },
        CommandError, //
    }, //
};

/// Lists versions, newest first, each with what it changed.
///
/// # Errors
///
/// Returns failures of the store.
pub(crate) fn run(args: &HistoryArgs) -> Result<(), CommandError> {
    // One version more than is listed, to tell what the last one listed changed.
    let limit = usize::from(args.limit);
    let versions = wait_for(client_of(&args.store).history(limit + 1))?;
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
