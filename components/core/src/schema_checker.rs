//! Comparison of a parsed TOML file with its schema.

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
    FieldKind,
    FieldSchema,
    FileFault, //
};

/// State of one pass over a file that compares it with its schema.
pub(crate) struct SchemaChecker<'a> {
    index: &'a LineIndex,
    faults: Vec<FileFault>,
    lines: Vec<(CompactString, u32)>,
    /// Number of placeholders, which makes each of them different.
    placeholders: u32,
}

/// Result of the comparison of a file with its schema.
pub(crate) struct CheckedTable {
    /// The file, with placeholders for invalid values.
    pub(crate) table: Table,
    pub(crate) faults: Vec<FileFault>,
    /// Line of each field, sorted by field.
    pub(crate) lines: Vec<(CompactString, u32)>,
}

impl SchemaChecker<'_> {
    /// Compares a parsed file with its schema.
    pub(crate) fn check(
        index: &LineIndex,
        file: &DeTable<'_>,
        schema: &'static [FieldSchema],
    ) -> CheckedTable {
        let mut checker = SchemaChecker {
            index,
            faults: Vec::new(),
            lines: Vec::new(),
            placeholders: 0,
        };
        let table = checker.section("", None, file, schema);
        checker.lines.sort_unstable();
        CheckedTable {
            table,
            faults: checker.faults,
            lines: checker.lines,
        }
    }

    /// Checks the fields of one section and returns them with placeholders for invalid values.
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
            let field = join_path(path, name);
            let line = self.index.line_at(key.span().start);
            let Some(expected) = schema.iter().find(|expected| expected.name == name) else {
                let allowed = list_names(schema.iter().map(|expected| expected.name));
                self.report(Some(line), field, "an unknown field".into(), allowed);
                continue;
            };
            self.lines.push((field.clone(), line));
            let value = self.value(field, line, value, expected.kind);
            table.insert(name.into(), value);
        }
        for expected in schema {
            if expected.required && !table.contains_key(expected.name) {
                let field = join_path(path, expected.name);
                self.report(line, field, "nothing".into(), describe_kind(expected.kind));
                let value = self.placeholder(expected.kind);
                table.insert(expected.name.into(), value);
            }
        }
        table
    }

    /// Checks the value of one field and returns it, or a placeholder if it is invalid.
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
            (_, scalar) => match convert_scalar(scalar, kind) {
                Some(converted) => converted,
                None => {
                    let found = describe_value(scalar);
                    self.report(Some(line), field, found, describe_kind(kind));
                    self.placeholder(kind)
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
            let item_path = format_compact!("{field}[{index}]");
            let start = item.span().start;
            let line = if start > 0 {
                self.index.line_at(start)
            } else {
                line
            };
            self.lines.push((item_path.clone(), line));
            let kind = FieldKind::Section(schema);
            values.push(self.value(item_path, line, item, kind));
        }
        Value::Array(values)
    }

    /// Checks a list of scalars; invalid ones are omitted.
    fn list(&mut self, field: &str, list: &DeArray<'_>, kind: FieldKind) -> Value {
        let mut values = Vec::new();
        for (index, item) in list.iter().enumerate() {
            let line = self.index.line_at(item.span().start);
            let item_path = format_compact!("{field}[{index}]");
            match convert_scalar(item.get_ref(), kind) {
                Some(converted) => {
                    self.lines.push((item_path, line));
                    values.push(converted);
                }
                None => {
                    let found = describe_value(item.get_ref());
                    self.report(Some(line), item_path, found, describe_kind(kind));
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

    /// Returns a value that can be deserialised. Texts and addresses are unique, so that later
    /// checks find no duplicates among placeholders.
    fn placeholder(&mut self, kind: FieldKind) -> Value {
        self.placeholders += 1;
        let unique_ip = Ipv4Addr::from(self.placeholders);
        match kind {
            FieldKind::Text => Value::String(format!("?{}", self.placeholders)),
            FieldKind::TextList | FieldKind::AddressList | FieldKind::SectionList(_) => {
                Value::Array(Vec::new())
            }
            FieldKind::Number { min, .. } => Value::Integer(i64::from(min)),
            FieldKind::Boolean => Value::Boolean(false),
            FieldKind::Choice(words) => Value::String(words.first().copied().unwrap_or("").into()),
            FieldKind::Ip4 => Value::String(unique_ip.to_string()),
            FieldKind::Address4 | FieldKind::Address => {
                Value::String(SocketAddrV4::new(unique_ip, 0).to_string())
            }
            FieldKind::Section(schema) => {
                let fields = schema.iter().filter(|expected| expected.required);
                let values =
                    fields.map(|expected| (expected.name.into(), self.placeholder(expected.kind)));
                Value::Table(values.collect())
            }
        }
    }
}

/// Converts a value that isn't a section or a list, or returns `None` if it isn't of `kind`.
fn convert_scalar(value: &DeValue<'_>, kind: FieldKind) -> Option<Value> {
    if let (FieldKind::Number { min, max }, DeValue::Integer(integer)) = (kind, value) {
        let number = i64::from_str_radix(integer.as_str(), integer.radix()).ok()?;
        let is_allowed = (i64::from(min)..=i64::from(max)).contains(&number);
        return is_allowed.then_some(Value::Integer(number));
    }
    if let (FieldKind::Boolean, DeValue::Boolean(flag)) = (kind, value) {
        return Some(Value::Boolean(*flag));
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
        FieldKind::Boolean => "true or false".into(),
        FieldKind::Choice(words) => list_names(words.iter().copied()),
        FieldKind::Ip4 => "an IPv4 address".into(),
        FieldKind::Address4 => "an IPv4 address with a port, such as `192.0.2.1:443`".into(),
        FieldKind::Address => "an IP address with a port, such as `192.0.2.1:443`".into(),
        FieldKind::AddressList => "a list of IPv4 addresses with ports".into(),
        FieldKind::Section(schema) => {
            let names = list_names(schema.iter().map(|expected| expected.name));
            format_compact!("a section with {names}")
        }
        FieldKind::SectionList(schema) => {
            let names = list_names(schema.iter().map(|expected| expected.name));
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

fn join_path(path: &str, name: &str) -> CompactString {
    if path.is_empty() {
        name.into()
    } else {
        format_compact!("{path}.{name}")
    }
}
