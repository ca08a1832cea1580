//! Parsing of TOML files with a check against a schema.

use compact_str::{
    format_compact,
    CompactString, //
};
use serde::de::DeserializeOwned;
use toml::{
    de::DeTable,
    Table, //
};

use crate::{
    line_index::LineIndex,
    schema_checker::SchemaChecker,
    version::TableFault,
    FieldSchema,
    FileFault, //
};

/// Parsed file with all faults found so far.
///
/// An invalid value is replaced by a placeholder, so that the rest of the file can still be
/// checked. Faults that a later check finds in a placeholder are dropped, because the value is
/// already reported.
#[derive(Debug, Default)]
pub struct ParsedFile {
    table: Table,
    faults: Vec<FileFault>,
    /// How many of the faults the check against the schema found. They come first, and placeholders
    /// replace their values.
    schema_faults: usize,
    /// Line of each field, sorted by field.
    lines: Vec<(CompactString, u32)>,
    is_parsed: bool,
}

impl ParsedFile {
    /// Parses `bytes` as TOML and checks it against `schema`.
    ///
    /// A file longer than `max_bytes` isn't parsed, which is a fault.
    pub fn read(bytes: &[u8], max_bytes: usize, schema: &'static [FieldSchema]) -> ParsedFile {
        if bytes.len() > max_bytes {
            let found = format_compact!("more than {max_bytes} bytes");
            let allowed = format_compact!("at most {max_bytes} bytes");
            return ParsedFile::rejected(None, found, allowed);
        }
        let index = LineIndex::new(bytes);
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                let line = index.line_at(error.valid_up_to());
                let found = "bytes that aren't UTF-8".into();
                return ParsedFile::rejected(Some(line), found, "UTF-8".into());
            }
        };
        let (parsed, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return ParsedFile::with_syntax_errors(&index, &errors);
        }
        let checked = SchemaChecker::check(&index, parsed.get_ref(), schema);
        ParsedFile {
            table: checked.table,
            schema_faults: checked.faults.len(),
            faults: checked.faults,
            lines: checked.lines,
            is_parsed: true,
        }
    }

    /// Returns whether the file is valid TOML, so that it can be checked further.
    pub fn is_parsed(&self) -> bool {
        self.is_parsed
    }

    /// Deserialises the file, with placeholders for invalid values, if it is valid TOML.
    ///
    /// Returns `None` and adds a fault if the fields don't match `S`.
    pub fn value<S: DeserializeOwned>(&mut self) -> Option<S> {
        if !self.is_parsed {
            return None;
        }
        match self.table.clone().try_into() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(
                    "",
                    error.message().into(),
                    "the fields of this kind of file",
                );
                None
            }
        }
    }

    /// Adds faults found by a later check, with the lines of their fields.
    pub fn add_faults(&mut self, faults: impl IntoIterator<Item = TableFault>) {
        for fault in faults {
            self.add(&fault.field, fault.found, fault.allowed);
        }
    }

    /// Adds a fault found by a later check, unless a placeholder replaces the value of `field`.
    pub fn add(&mut self, field: &str, found: CompactString, allowed: &str) {
        if self.has_placeholder(field) {
            return;
        }
        self.faults.push(FileFault {
            line: self.line_of(field),
            field: field.into(),
            found,
            allowed: allowed.into(),
        });
    }

    /// Returns `value` if there are no faults.
    ///
    /// # Errors
    ///
    /// Returns all faults, sorted by line.
    pub fn finish<S>(self, value: Option<S>) -> Result<S, Vec<FileFault>> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(self.into_faults()),
        }
    }

    /// Returns all faults, sorted by line.
    pub fn into_faults(mut self) -> Vec<FileFault> {
        self.faults.sort_by_key(|fault| fault.line);
        self.faults
    }

    fn rejected(line: Option<u32>, found: CompactString, allowed: CompactString) -> ParsedFile {
        let fault = FileFault {
            line,
            field: CompactString::default(),
            found,
            allowed,
        };
        ParsedFile {
            faults: vec![fault],
            ..ParsedFile::default()
        }
    }

    fn with_syntax_errors(index: &LineIndex, errors: &[toml::de::Error]) -> ParsedFile {
        let fault = |error: &toml::de::Error| FileFault {
            line: error.span().map(|span| index.line_at(span.start)),
            field: CompactString::default(),
            found: format_compact!("a syntax error ({})", error.message()),
            allowed: "TOML".into(),
        };
        ParsedFile {
            faults: errors.iter().map(fault).collect(),
            ..ParsedFile::default()
        }
    }

    /// Returns whether a placeholder replaces the value of `field` or of a section that contains
    /// it.
    fn has_placeholder(&self, field: &str) -> bool {
        self.faults[..self.schema_faults].iter().any(|fault| {
            let rest = field.strip_prefix(&*fault.field);
            !fault.field.is_empty()
                && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
        })
    }

    /// Returns the line of `field`, or of the innermost section that contains it.
    fn line_of(&self, field: &str) -> Option<u32> {
        let mut path = field;
        loop {
            let found = self
                .lines
                .binary_search_by(|(name, _)| name.as_str().cmp(path));
            if let Ok(index) = found {
                return Some(self.lines[index].1);
            }
            path = &path[..path.rfind(['.', '['])?];
        }
    }
}
