//! The text of a file, compared with the fields that it may have.

use std::net::{
    Ipv4Addr,
    SocketAddr,
    SocketAddrV4, //
};

use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use serde::de::DeserializeOwned;
use toml::{
    de::{
        DeArray,
        DeTable,
        DeValue, //
    },
    Spanned,
    Table,
    Value, //
};

use crate::{
    line_index::LineIndex,
    version::TableFault,
    FieldKind,
    FieldSchema,
    FileFault, //
};

/// The parsed text of a file with all faults found so far.
///
/// A faulty value is replaced by a stand-in, so that the rest of the file can still be checked.
/// Faults that a later check finds in such a value are dropped, because they are already reported.
#[derive(Debug, Default)]
pub struct ParsedFile {
    table: Table,
    faults: Vec<FileFault>,
    /// How many of the faults are in values that stand-ins replace.
    shape_faults: usize,
    /// Lines of the fields, sorted by field.
    lines: Vec<(CompactString, u32)>,
    is_parsed: bool,
}

impl ParsedFile {
    /// Parses `bytes` as TOML with the fields of `schema`.
    pub fn read(bytes: &[u8], max_bytes: usize, schema: &'static [FieldSchema]) -> ParsedFile {
        if bytes.len() > max_bytes {
            let found = format_compact!("more than {max_bytes} bytes");
            let allowed = format_compact!("at most {max_bytes} bytes");
            return ParsedFile::refused(None, found, allowed);
        }
        let index = LineIndex::new(bytes);
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(error) => {
                let line = index.line_at(error.valid_up_to());
                let found = "bytes that aren't UTF-8".into();
                return ParsedFile::refused(Some(line), found, "UTF-8".into());
            }
        };
        let (parsed, errors) = DeTable::parse_recoverable(text);
        if !errors.is_empty() {
            return ParsedFile::unparsed(&index, &errors);
        }
        let mut walk = ShapeWalk {
            index: &index,
            faults: Vec::new(),
            lines: Vec::new(),
            stand_ins: 0,
        };
        let table = walk.section("", None, parsed.get_ref(), schema);
        walk.lines.sort_unstable();
        ParsedFile {
            table,
            shape_faults: walk.faults.len(),
            faults: walk.faults,
            lines: walk.lines,
            is_parsed: true,
        }
    }

    /// Returns whether the text is TOML, so that later checks can say something about it.
    pub fn is_parsed(&self) -> bool {
        self.is_parsed
    }

    /// Returns the parsed file, with stand-ins for faulty values, if the text is TOML.
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

    /// Adds the faults of a later check, with the lines of their fields.
    pub fn add_faults(&mut self, faults: impl IntoIterator<Item = TableFault>) {
        for fault in faults {
            self.add(&fault.field, fault.found, fault.allowed);
        }
    }

    /// Adds one fault of a later check.
    pub fn add(&mut self, field: &str, found: CompactString, allowed: &str) {
        if self.is_stand_in(field) {
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

    fn refused(line: Option<u32>, found: CompactString, allowed: CompactString) -> ParsedFile {
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

    fn unparsed(index: &LineIndex, errors: &[toml::de::Error]) -> ParsedFile {
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

    /// Returns whether a stand-in replaces the value of `field` or of what contains it.
    fn is_stand_in(&self, field: &str) -> bool {
        self.faults[..self.shape_faults].iter().any(|fault| {
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

/// One pass through a parsed file.
struct ShapeWalk<'a> {
    index: &'a LineIndex,
    faults: Vec<FileFault>,
    lines: Vec<(CompactString, u32)>,
    /// Count of stand-ins, which makes each of them different.
    stand_ins: u32,
}

impl ShapeWalk<'_> {
    /// Checks the fields of one section and returns them with stand-ins for faulty values.
    fn section(
        &mut self,
        path: &str,
        line: Option<u32>,
        section: &DeTable<'_>,
        schema: &'static [FieldSchema],
    ) -> Table {
        let mut table = Table::new();
        for (key, value) in section {
            let name = key.get_ref().as_ref();
            let field = join(path, name);
            let line = self.index.line_at(key.span().start);
            let Some(known) = schema.iter().find(|known| known.name == name) else {
                let allowed = list_names(schema.iter().map(|known| known.name));
                self.report(Some(line), field, "an unknown field".into(), allowed);
                continue;
            };
            self.lines.push((field.clone(), line));
            let value = self.value(field, line, value, known.kind);
            table.insert(name.into(), value);
        }
        for known in schema {
            if known.required && !table.contains_key(known.name) {
                let field = join(path, known.name);
                self.report(line, field, "nothing".into(), describe_kind(known.kind));
                let value = self.stand_in(known.kind);
                table.insert(known.name.into(), value);
            }
        }
        table
    }

    /// Checks the value of one field and returns it, or a stand-in if it is faulty.
    fn value(
        &mut self,
        field: CompactString,
        line: u32,
        value: &Spanned<DeValue<'_>>,
        kind: FieldKind,
    ) -> Value {
        match (kind, value.get_ref()) {
            (FieldKind::Section(schema), DeValue::Table(section)) => {
                Value::Table(self.section(&field, Some(line), section, schema))
            }
            (FieldKind::SectionList(schema), DeValue::Array(list)) => {
                self.sections(&field, line, list, schema)
            }
            (FieldKind::TextList, DeValue::Array(list)) => self.list(&field, list, FieldKind::Text),
            (FieldKind::AddressList, DeValue::Array(list)) => {
                self.list(&field, list, FieldKind::Address4)
            }
            (_, scalar) => match plain_value(scalar, kind) {
                Some(plain) => plain,
                None => {
                    let found = describe_value(scalar);
                    self.report(Some(line), field, found, describe_kind(kind));
                    self.stand_in(kind)
                }
            },
        }
    }

    fn sections(
        &mut self,
        field: &str,
        line: u32,
        list: &DeArray<'_>,
        schema: &'static [FieldSchema],
    ) -> Value {
        let mut values = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let place = format_compact!("{field}[{index}]");
            let start = item.span().start;
            let line = if start > 0 {
                self.index.line_at(start)
            } else {
                line
            };
            self.lines.push((place.clone(), line));
            let kind = FieldKind::Section(schema);
            values.push(self.value(place, line, item, kind));
        }
        Value::Array(values)
    }

    /// Checks a list of plain values; faulty ones are left out.
    fn list(&mut self, field: &str, list: &DeArray<'_>, kind: FieldKind) -> Value {
        let mut values = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let line = self.index.line_at(item.span().start);
            let place = format_compact!("{field}[{index}]");
            match plain_value(item.get_ref(), kind) {
                Some(plain) => {
                    self.lines.push((place, line));
                    values.push(plain);
                }
                None => {
                    let found = describe_value(item.get_ref());
                    self.report(Some(line), place, found, describe_kind(kind));
                }
            }
        }
        Value::Array(values)
    }

    fn report(
        &mut self,
        line: Option<u32>,
        field: CompactString,
        found: CompactString,
        allowed: CompactString,
    ) {
        self.faults.push(FileFault {
            line,
            field,
            found,
            allowed,
        });
    }

    /// Returns a value that can be deserialised and equals no other stand-in where that matters.
    fn stand_in(&mut self, kind: FieldKind) -> Value {
        self.stand_ins += 1;
        let unlike = Ipv4Addr::from(self.stand_ins);
        match kind {
            FieldKind::Text => Value::String(format!("?{}", self.stand_ins)),
            FieldKind::TextList | FieldKind::AddressList | FieldKind::SectionList(_) => {
                Value::Array(Vec::new())
            }
            FieldKind::Number { min, .. } => Value::Integer(i64::from(min)),
            FieldKind::Choice(words) => Value::String(words.first().copied().unwrap_or("").into()),
            FieldKind::Ip4 => Value::String(unlike.to_string()),
            FieldKind::Address4 | FieldKind::Address => {
                Value::String(SocketAddrV4::new(unlike, 0).to_string())
            }
            FieldKind::Section(schema) => {
                let fields = schema.iter().filter(|known| known.required);
                let values = fields.map(|known| (known.name.into(), self.stand_in(known.kind)));
                Value::Table(values.collect())
            }
        }
    }
}

/// Converts a value that isn't a section or list, if it is of `kind`.
fn plain_value(value: &DeValue<'_>, kind: FieldKind) -> Option<Value> {
    if let (FieldKind::Number { min, max }, DeValue::Integer(integer)) = (kind, value) {
        let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        let is_allowed = (i64::from(min)..=i64::from(max)).contains(&number);
        return is_allowed.then_some(Value::Integer(number));
    }
    let DeValue::String(text) = value else {
        return None;
    };
    let is_allowed = match kind {
        FieldKind::Text => true,
        FieldKind::Choice(words) => words.contains(&text.as_ref()),
        FieldKind::Ip4 => text.parse::<Ipv4Addr>().is_ok(),
        FieldKind::Address4 => text.parse::<SocketAddrV4>().is_ok(),
        FieldKind::Address => text.parse::<SocketAddr>().is_ok(),
        _ => false,
    };
    is_allowed.then(|| Value::String(text.to_string()))
}

fn describe_value(value: &DeValue<'_>) -> CompactString {
    match value {
        DeValue::String(text) => format_compact!("`{text}`"),
        DeValue::Integer(number) => number.to_compact_string(),
        DeValue::Float(number) => number.to_compact_string(),
        DeValue::Boolean(value) => value.to_compact_string(),
        DeValue::Datetime(time) => time.to_compact_string(),
        DeValue::Array(_) => "a list".into(),
        DeValue::Table(_) => "a section".into(),
    }
}

fn describe_kind(kind: FieldKind) -> CompactString {
    match kind {
        FieldKind::Text => "a text".into(),
        FieldKind::TextList => "a list of texts".into(),
        FieldKind::Number { min, max } => format_compact!("a whole number from {min} to {max}"),
        FieldKind::Choice(words) => list_names(words.iter().copied()),
        FieldKind::Ip4 => "an IPv4 address".into(),
        FieldKind::Address4 => "an IPv4 address with a port, such as `192.0.2.1:443`".into(),
        FieldKind::Address => "an IP address with a port, such as `192.0.2.1:443`".into(),
        FieldKind::AddressList => "a list of IPv4 addresses with ports".into(),
        FieldKind::Section(schema) => {
            let names = list_names(schema.iter().map(|known| known.name));
            format_compact!("a section with {names}")
        }
        FieldKind::SectionList(schema) => {
            let names = list_names(schema.iter().map(|known| known.name));
            format_compact!("sections with {names}")
        }
    }
}

fn list_names(names: impl Iterator<Item = &'static str>) -> CompactString {
    let mut listed = CompactString::default();
    for name in names {
        if !listed.is_empty() {
            listed.push_str(", ");
        }
        listed.push_str(&format_compact!("`{name}`"));
    }
    listed
}

fn join(path: &str, name: &str) -> CompactString {
    if path.is_empty() {
        name.into()
    } else {
        format_compact!("{path}.{name}")
    }
}
