//! The command `tables check`.

use carobdrum_core::version::ConfigVersion;
use carobdrum_store::{
    StoreClient,
    TableChanges, //
};
use compact_str::format_compact;

use crate::{
    change_summary::describe_changes,
    cli::TablesCheckArgs,
    cmd::{
        print,
        tables::{
            block_on,
            table_files::EditedTables, //
        }, //
    },
    command_error::CommandError, //
};

/// Checks the tables in a folder, and compares them with those in force if a store is given.
///
/// # Errors
///
/// Returns faults of the tables and errors of the store.
pub(crate) fn run(args: &TablesCheckArgs) -> Result<(), CommandError> {
    let edited = EditedTables::read(&args.folder)?;
    let (Some(store), Some(deployment)) = (args.store, args.deployment.as_deref()) else {
        return print(b"tables: ok\n");
    };
    let client = StoreClient::new(store, deployment);
    let stored = block_on(client.read_version())?;
    let current = stored.map(|stored| stored.version).unwrap_or_default();
    let edited = ConfigVersion {
        routes: edited.routes,
        pools: edited.pools,
        ..ConfigVersion::default()
    };
    let changes = TableChanges::between(&current, &edited);
    let changes = describe_changes(&changes);
    let number = current.number;
    let text = format_compact!("tables: ok; compared with version {number}: {changes}\n");
    print(text.as_bytes())
}
