//! The command `check`.

use std::path::Path;

use snafu::ResultExt;

use crate::{
    cli::{
        CheckArgs,
        ReportFormat, //
    },
    cmd::{
        check_report::CheckReport,
        check_set::CheckSet,
        checked_file::{
            file_fault,
            CheckedFile, //
        },
        config_difference::compare_documents,
        file_kind::FileKind,
        print, //
    },
    command_error::{
        CommandError,
        EncodeResultSnafu,
        FaultySnafu, //
    }, //
};

/// Checks files offline; prints one line for each file without faults, and for each difference
/// from the document given for comparison.
///
/// # Errors
///
/// Returns [`CommandError::Faulty`] if a file has a fault, with a line for each one unless the
/// faults were printed as JSON.
pub(crate) fn run(args: &CheckArgs) -> Result<(), CommandError> {
    let mut set = CheckSet::read(&args.files);
    set.check_tables();
    set.check_settings();
    set.check_documents();
    let mut report = CheckReport::default();
    for file in set.files() {
        report.add_file(file);
    }
    if let Some(path) = &args.against {
        compare_files(&set, path, &mut report);
    }
    match args.format {
        ReportFormat::Text => print(report.text().as_bytes())?,
        ReportFormat::Json => {
            let mut line = serde_json::to_vec(&report).context(EncodeResultSnafu)?;
            line.push(b'\n');
            print(&line)?;
        }
    }
    if !report.has_faults() {
        return Ok(());
    }
    let lines = match args.format {
        ReportFormat::Text => report.into_fault_lines(),
        ReportFormat::Json => Vec::new(),
    };
    FaultySnafu { lines }.fail()
}

/// Compares each document of the set with the one at `path`. Documents with entries that can't be
/// parsed aren't compared; their faults are in the report.
fn compare_files(set: &CheckSet, path: &Path, report: &mut CheckReport) {
    let mut other = CheckedFile::read_document(path);
    let mut files = set.files().iter();
    if files.all(|file| file.kind != Some(FileKind::Document)) {
        let found = "no configuration document to compare with it".into();
        let allowed = "a configuration document among the checked files";
        other.faults.push(file_fault("", found, allowed));
    }
    report.add_faults(&other);
    let Some(other_document) = other.document() else {
        return;
    };
    for file in set.files() {
        if let Some(document) = file.document() {
            for difference in compare_documents(document, other_document) {
                report.add_difference(&file.path, path, difference);
            }
        }
    }
}
