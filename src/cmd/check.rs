//! The command `check`.

use carobdrum_core::OneLine;
use compact_str::{
    format_compact,
    CompactString, //
};

use crate::{
    cli::CheckArgs,
    cmd::{
        check_set::CheckSet,
        command_error::FaultySnafu,
        print,
        CommandError, //
    }, //
};

/// Checks files offline; prints one line for each file without faults.
///
/// # Errors
///
/// Returns [`CommandError::Faulty`], with a line for each fault, if a file has one.
pub(crate) fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let mut set = CheckSet::read(&args.files);
    set.check_tables();
    set.check_settings();
    let mut good = CompactString::default();
    let mut lines = Vec::new();
    for file in set.files() {
        let path = file.path.to_string_lossy();
        let path = OneLine(&path);
        if file.faults.is_empty() {
            good.push_str(&format_compact!("{path}: ok\n"));
        }
        let faults = file.faults.iter();
        lines.extend(faults.map(|fault| format_compact!("{path}{fault}")));
    }
    print(good.as_bytes())?;
    if lines.is_empty() {
        Ok(())
    } else {
        FaultySnafu { lines }.fail()
    }
}
