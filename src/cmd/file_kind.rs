//! Kinds of files that operators edit, and their detection.

use std::path::Path;

use toml::de::DeTable;

/// Kind of a file that operators edit.
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
    /// Template from which the platform renders the settings of its roles.
    NodeTemplate,
    /// The platform's configuration document.
    Document,
}

/// File name suffix of a template.
const TEMPLATE_SUFFIX: &str = ".template";

/// File name suffix of a configuration document.
const DOCUMENT_SUFFIX: &str = ".json";

/// File name prefixes and the kinds of files that have them.
const KINDS_BY_NAME: &[(&str, FileKind)] = &[
    ("routes", FileKind::Routes),
    ("pools", FileKind::Pools),
    ("balancer", FileKind::Balancer),
    ("agent", FileKind::Agent),
];

/// Top-level fields and the kinds of files that have them. The settings of agents and balancers
/// share `process`, so it comes last.
const KINDS_BY_FIELD: &[(&str, FileKind)] = &[
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
    /// Detects the kind of a file from its name or else its start or top-level fields; returns
    /// `None` if none is known.
    pub(crate) fn detect(path: &Path, bytes: &[u8]) -> Option<FileKind> {
        let name = path.file_name()?.to_string_lossy();
        if name.ends_with(TEMPLATE_SUFFIX) {
            return Some(FileKind::NodeTemplate);
        }
        if name.ends_with(DOCUMENT_SUFFIX) {
            return Some(FileKind::Document);
        }
        let by_name = KINDS_BY_NAME
            .iter()
            .find(|(start, _)| name.starts_with(start));
        if let Some((_, kind)) = by_name {
            return Some(*kind);
        }
        // No TOML file starts with a brace.
        if bytes.trim_ascii_start().starts_with(b"{") {
            return Some(FileKind::Document);
        }
        let text = std::str::from_utf8(bytes).ok()?;
        let (table, _) = DeTable::parse_recoverable(text);
        let has = |field: &str| table.get_ref().keys().any(|key| key.get_ref() == field);
        let by_field = KINDS_BY_FIELD.iter().find(|(field, _)| has(field));
        by_field.map(|(_, kind)| *kind)
    }
}
