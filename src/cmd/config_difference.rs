//! Differences between two configuration documents.

use carobdrum_platform::{
    ConfigDocument,
    DocumentRoute,
    DocumentService,
    TextPosition, //
};
use compact_str::{
    format_compact,
    CompactString, //
};

/// How an entry differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DifferenceKind {
    Added,
    Removed,
    Changed,
}

impl DifferenceKind {
    /// Returns the word for output.
    pub(crate) fn word(self) -> &'static str {
        match self {
            DifferenceKind::Added => "added",
            DifferenceKind::Removed => "removed",
            DifferenceKind::Changed => "changed",
        }
    }
}

/// Difference between an entry of the checked document and the same entry of the other one.
#[derive(Clone, Debug)]
pub(crate) struct ConfigDifference {
    /// How the entry differs.
    pub(crate) kind: DifferenceKind,
    /// Position of the entry; that of a removed one is in the other document.
    pub(crate) position: Option<TextPosition>,
    /// Kind and name of the entry.
    pub(crate) entry: CompactString,
    /// Content of an added or removed entry, or the values that changed.
    pub(crate) detail: CompactString,
}

/// An entry in the form in which entries are compared.
struct ComparedEntry {
    /// Kind and name, which identify the entry in both documents.
    name: CompactString,
    position: Option<TextPosition>,
    /// Names and values of the fields, the same names for all entries of a kind.
    fields: Vec<(&'static str, CompactString)>,
}

/// Returns what differs in `document` from `other`: routes by address, services by name, limits.
/// Added and changed entries come first, in the order of `document`. Of entries with one name, the
/// first counts.
pub(crate) fn compare_documents(
    document: &ConfigDocument,
    other: &ConfigDocument,
) -> Vec<ConfigDifference> {
    let (document, other) = (list_entries(document), list_entries(other));
    let (by_name, other_by_name) = (sort_by_name(&document), sort_by_name(&other));
    let mut differences = Vec::new();
    let is_first = |sorted: &[&ComparedEntry], entry: &&ComparedEntry| {
        find_entry(sorted, &entry.name).is_some_and(|first| std::ptr::eq(first, *entry))
    };
    for entry in document.iter().filter(|entry| is_first(&by_name, entry)) {
        match find_entry(&other_by_name, &entry.name) {
            None => differences.push(entry.difference(DifferenceKind::Added, entry.content())),
            Some(former) if former.fields != entry.fields => {
                let changes = entry.changes_since(former);
                differences.push(entry.difference(DifferenceKind::Changed, changes));
            }
            Some(_) => (),
        }
    }
    for entry in other.iter().filter(|entry| is_first(&other_by_name, entry)) {
        if find_entry(&by_name, &entry.name).is_none() {
            differences.push(entry.difference(DifferenceKind::Removed, entry.content()));
        }
    }
    differences
}

impl ComparedEntry {
    fn of_route(route: &DocumentRoute) -> ComparedEntry {
        let shares = route.route.shares.iter();
        let shares: Vec<CompactString> = shares
            .map(|share| format_compact!("{} {}", share.service, share.weight))
            .collect();
        let timeout = route.timeout.map_or_else(
            || "none".into(),
            |timeout| format_compact!("{} ms", timeout.0),
        );
        let objective = route.route.latency_objective;
        ComparedEntry {
            name: format_compact!("route {}", route.route.address),
            position: Some(route.place.position),
            fields: vec![
                ("name", format_compact!("`{}`", route.name)),
                ("services", shares.join(" + ").into()),
                ("priority", format_compact!("{}", route.route.priority)),
                ("objective", format_compact!("{} ms", objective.0)),
                ("timeout", timeout),
            ],
        }
    }

    fn of_service(service: &DocumentService) -> ComparedEntry {
        let place = &service.place;
        let service = &service.service;
        let rate = service.cold_rate.map_or_else(
            || "no limit".into(),
            |rate| format_compact!("{rate} requests/s"),
        );
        ComparedEntry {
            name: format_compact!("service `{}`", service.name),
            position: Some(place.position),
            fields: vec![
                (
                    "cold duration",
                    format_compact!("{} ms", service.cold_duration.0),
                ),
                ("cold rate", rate),
            ],
        }
    }

    fn content(&self) -> CompactString {
        let fields = self.fields.iter();
        let fields: Vec<CompactString> = fields
            .map(|(name, value)| format_compact!("{name} {value}"))
            .collect();
        fields.join(", ").into()
    }

    /// Returns the fields that differ from those of `former`, an entry of the same kind.
    fn changes_since(&self, former: &ComparedEntry) -> CompactString {
        let pairs = self.fields.iter().zip(&former.fields);
        let changes: Vec<CompactString> = pairs
            .filter(|(field, former)| field != former)
            .map(|((name, value), (_, former))| format_compact!("{name} {former} -> {value}"))
            .collect();
        changes.join(", ").into()
    }

    fn difference(&self, kind: DifferenceKind, detail: CompactString) -> ConfigDifference {
        ConfigDifference {
            kind,
            position: self.position,
            entry: self.name.clone(),
            detail,
        }
    }
}

fn list_entries(document: &ConfigDocument) -> Vec<ComparedEntry> {
    let idle_timeout = format_compact!("{} ms", document.idle_timeout.0);
    let limits = ComparedEntry {
        name: "limits".into(),
        position: document.limits.as_ref().map(|place| place.position),
        fields: vec![("idle timeout", idle_timeout)],
    };
    let routes = document.routes.iter().map(ComparedEntry::of_route);
    let services = document.services.iter().map(ComparedEntry::of_service);
    routes
        .chain(services)
        .chain(std::iter::once(limits))
        .collect()
}

/// Returns the entries sorted by name, the first of each name only.
fn sort_by_name(entries: &[ComparedEntry]) -> Vec<&ComparedEntry> {
    let mut sorted: Vec<&ComparedEntry> = entries.iter().collect();
    sorted.sort_by(|left, right| left.name.cmp(&right.name));
    sorted.dedup_by(|later, first| later.name == first.name);
    sorted
}

fn find_entry<'a>(sorted: &[&'a ComparedEntry], name: &str) -> Option<&'a ComparedEntry> {
    let found = sorted.binary_search_by(|entry| entry.name.as_str().cmp(name));
    found.ok().map(|index| sorted[index])
}
