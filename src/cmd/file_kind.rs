//! Kinds of the files that operators write.

use std::path::Path;

use toml::de::DeTable;

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// The table of routes.
    Routes,
    /// The table of pools.
    Pools,
    /// Settings of a balancer.
    Balancer,
    /// Settings of an agent.
    Agent,
    /// Settings of a role on the users' platform.
    Node,
    /// Template from which the platform makes such settings.
    NodeTemplate,
}

/// End of the name of a template.
const TEMPLATE_END: &str = ".template";

/// Beginnings of file names, and the kinds that they tell.
const NAMES: &[(&str, FileKind)] = &[
    ("routes", FileKind::Routes),
    ("pools", FileKind::Pools),
    ("balancer", FileKind::Balancer),
    ("agent", FileKind::Agent),
];

/// Fields at the top of a file, and the kinds that they tell. An agent's settings and a balancer's
/// share `process`, which therefore comes last.
const FIELDS: &[(&str, FileKind)] = &[
    ("route", FileKind::Routes),
    ("pool", FileKind::Pools),
    ("data_centre", FileKind::Pools),
    ("server", FileKind::Agent),
    ("certificate_file", FileKind::Agent),
    ("key_file", FileKind::Agent),
    ("node", FileKind::Node),
    ("process", FileKind::Balancer),
];

impl FileKind {
    /// Tells the kind by the name, and otherwise by the fields.
    pub(crate) fn tell(path: &Path, bytes: &[u8]) -> Option<FileKind> {
        let name = path.file_name()?.to_string_lossy();
        if name.ends_with(TEMPLATE_END) {
            return Some(FileKind::NodeTemplate);
        }
        let by_name = NAMES.iter().find(|(start, _)| name.starts_with(start));
        if let Some((_, kind)) = by_name {
            return Some(*kind);
        }
        let text = std::str::from_utf8(bytes).ok()?;
        let (table, _) = DeTable::parse_recoverable(text);
        let has = |field: &str| table.get_ref().keys().any(|key| key.get_ref() == field);
        let by_field = FIELDS.iter().find(|(field, _)| has(field));
        by_field.map(|(_, kind)| *kind)
    }
}
