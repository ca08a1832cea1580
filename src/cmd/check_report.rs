//! Report of a check, as lines or as JSON.

use std::path::Path;

use carobdrum_core::OneLine;
use carobdrum_platform::TextPosition;
use compact_str::{
    format_compact,
    CompactString, //
};
use serde::Serialize;

use crate::cmd::{
    checked_file::CheckedFile,
    config_difference::{
        ConfigDifference,
        DifferenceKind, //
    }, //
};

/// Result of a check of several files.
#[derive(Debug, Default, Serialize)]
pub(crate) struct CheckReport {
    /// Files without faults, in the order of the command line.
    good_files: Vec<CompactString>,
    /// Faults by file.
    faults: Vec<FaultRecord>,
    /// Differences of configuration documents.
    differences: Vec<DifferenceRecord>,
    /// The line for each fault.
    #[serde(skip)]
    fault_lines: Vec<CompactString>,
}

/// A fault for scripts.
#[derive(Debug, Serialize)]
struct FaultRecord {
    file: CompactString,
    line: Option<usize>,
    column: Option<usize>,
    field: CompactString,
    found: CompactString,
    allowed: CompactString,
}

/// A difference for scripts.
#[derive(Debug, Serialize)]
struct DifferenceRecord {
    /// File in which the entry is: the other file if the entry was removed.
    file: CompactString,
    line: Option<usize>,
    column: Option<usize>,
    change: &'static str,
    entry: CompactString,
    detail: CompactString,
}

impl CheckReport {
    /// Adds the faults of a file that takes part in the check.
    pub(crate) fn add_file(&mut self, file: &CheckedFile) {
        if file.faults.is_empty() && file.findings.is_empty() {
            self.good_files.push(show_path(&file.path));
        }
        self.add_faults(file);
    }

    /// Adds the faults of a file.
    pub(crate) fn add_faults(&mut self, file: &CheckedFile) {
        let path = show_path(&file.path);
        for fault in &file.faults {
            self.fault_lines.push(format_compact!("{path}{fault}"));
        }
        for finding in &file.findings {
            self.fault_lines.push(format_compact!("{path}{finding}"));
        }
        let faults = file.faults.iter().map(|fault| {
            let line = fault.line.map(|line| line as usize);
            (line, None, fault)
        });
        let findings = file.findings.iter().map(|finding| {
            let (line, column) = split_position(finding.position);
            (line, column, &finding.fault)
        });
        for (line, column, fault) in faults.chain(findings) {
            self.faults.push(FaultRecord {
                file: path.clone(),
                line,
                column,
                field: fault.field.clone(),
                found: fault.found.clone(),
                allowed: fault.allowed.clone(),
            });
        }
    }

    /// Adds a difference between the documents at `path` and `other`.
    pub(crate) fn add_difference(&mut self, path: &Path, other: &Path, found: ConfigDifference) {
        let owner = match found.kind {
            DifferenceKind::Removed => other,
            DifferenceKind::Added | DifferenceKind::Changed => path,
        };
        let (line, column) = split_position(found.position);
        self.differences.push(DifferenceRecord {
            file: show_path(owner),
            line,
            column,
            change: found.kind.word(),
            entry: found.entry,
            detail: found.detail,
        });
    }

    /// Returns the line for each fault.
    pub(crate) fn into_fault_lines(self) -> Vec<CompactString> {
        self.fault_lines
    }

    /// Returns whether any file has a fault.
    pub(crate) fn has_faults(&self) -> bool {
        !self.fault_lines.is_empty()
    }

    /// Returns the text for stdout: the files without faults, then the differences.
    pub(crate) fn text(&self) -> String {
        let mut text = String::new();
        for path in &self.good_files {
            text.push_str(&format_compact!("{path}: ok\n"));
        }
        for difference in &self.differences {
            text.push_str(&difference.file);
            if let (Some(line), Some(column)) = (difference.line, difference.column) {
                text.push_str(&format_compact!(":{line}:{column}"));
            }
            let change = difference.change;
            let entry = OneLine(&difference.entry);
            let detail = OneLine(&difference.detail);
            text.push_str(&format_compact!(": {change} {entry}: {detail}\n"));
        }
        text
    }
}

fn split_position(position: Option<TextPosition>) -> (Option<usize>, Option<usize>) {
    position.map(|at| (at.line, at.column)).unzip()
}

/// Returns the path in one line.
fn show_path(path: &Path) -> CompactString {
    format_compact!("{}", OneLine(&path.to_string_lossy()))
}
