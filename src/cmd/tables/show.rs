//! The command `tables show`.

use carobdrum_core::version::ConfigVersion;
use compact_str::{
    format_compact,
    CompactString, //
};
use snafu::OptionExt;

use crate::{
    cli::ShowArgs,
    cmd::{
        print,
        tables::{
            block_on,
            client_of,
            one_line,
            table_files::{
                write_tables,
                TableTexts, //
            },
            utc_time::utc_time, //
        }, //
    },
    command_error::{
        CommandError,
        NoVersionSnafu,
        UnknownVersionSnafu, //
    }, //
};

/// Prints a version, or writes its tables to files.
///
/// # Errors
///
/// Returns a [`CommandError`] if there is no such version, the store fails, or a file can't be
/// written.
pub(crate) fn run(args: &ShowArgs) -> Result<(), CommandError> {
    let client = client_of(&args.store);
    let version = match args.number {
        Some(number) => {
            block_on(client.read_version_number(number))?.context(UnknownVersionSnafu { number })?
        }
        None => {
            let deployment = args.store.deployment.as_str();
            let stored = block_on(client.read_version())?;
            stored.context(NoVersionSnafu { deployment })?.version
        }
    };
    let texts = TableTexts::of(&version)?;
    let summary = summarise(&version);
    match &args.folder {
        Some(folder) => {
            write_tables(folder, &texts, args.force)?;
            let folder = folder.display();
            let text =
                format_compact!("{summary}\nwritten: {folder}/routes.toml {folder}/pools.toml\n");
            print(text.as_bytes())
        }
        None => {
            let TableTexts { routes, pools } = texts;
            print(format_compact!("# {summary}\n{routes}\n{pools}").as_bytes())
        }
    }
}

/// Returns a one-line summary of a version: number, time, author and comment.
pub(crate) fn summarise(version: &ConfigVersion) -> CompactString {
    format_compact!(
        "version {} at {} by `{}`: {}",
        version.number,
        utc_time(version.edited_ms),
        one_line(&version.author),
        one_line(&version.comment)
    )
}
