//! Table of routes: which incoming traffic belongs to which service.

use std::net::SocketAddrV4;

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::route_check::{
    MAX_TIMEOUT_MS,
    MIN_TIMEOUT_MS, //
};
use crate::{
    FieldKind,
    FieldSchema, //
};

/// Fields of routes.toml.
pub(super) const ROUTES_SCHEMA: &[FieldSchema] = &[FieldSchema::optional(
    "route",
    FieldKind::SectionList(ROUTE_SCHEMA),
)];

const ROUTE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("name", FieldKind::Text),
    FieldSchema::required("service", FieldKind::Text),
    FieldSchema::required("address", FieldKind::Address4),
    FieldSchema::optional("path_prefix", FieldKind::Text),
    FieldSchema::optional("methods", FieldKind::TextList),
    FieldSchema::optional(
        "priority",
        FieldKind::Choice(&["dispatch", "normal", "bulk"]),
    ),
    FieldSchema::optional(
        "timeout_ms",
        FieldKind::Number {
            min: MIN_TIMEOUT_MS,
            max: MAX_TIMEOUT_MS,
        },
    ),
];

/// Priority of the requests of a route; earlier variants are served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum PriorityClass {
    /// Requests that people wait for in an emergency.
    Dispatch,
    /// Ordinary requests.
    #[default]
    Normal,
    /// Long transfers that can be delayed.
    Bulk,
}

/// One row of the table of routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Name of the route, unique in the table.
    pub name: CompactString,
    /// Service that matching traffic belongs to; the table of pools refers to it by the same name.
    pub service: CompactString,
    /// Address at which callers reach the service.
    pub address: SocketAddrV4,
    /// Prefix of the request paths that the route matches; `/` by default.
    #[serde(default = "default_prefix")]
    pub path_prefix: CompactString,
    /// Request methods that the route matches; empty for all.
    #[serde(default)]
    pub methods: Vec<CompactString>,
    /// Priority of matching requests.
    #[serde(default)]
    pub priority: PriorityClass,
    /// Timeout of a request in milliseconds, 10 to 86,400,000; 30,000 by default.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u32,
}

fn default_prefix() -> CompactString {
    CompactString::const_new("/")
}

fn default_timeout() -> u32 {
    30_000
}

/// Content of routes.toml.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteTable {
    /// Routes, of which several may belong to the same service.
    #[serde(default, rename = "route")]
    pub routes: Vec<RouteEntry>,
}

impl RouteTable {
    /// Returns the service that callers reach at `address`.
    pub fn service_at(&self, address: SocketAddrV4) -> Option<&CompactString> {
        self.routes
            .iter()
            .find(|route| route.address == address)
            .map(|route| &route.service)
    }

    /// Returns the route of a request: the one with the longest matching prefix, and among equal
    /// prefixes one that names the method before one for all methods.
    pub fn route_of(&self, service: &str, method: &str, path: &str) -> Option<&RouteEntry> {
        self.routes
            .iter()
            .filter(|route| route.service == service && path.starts_with(&*route.path_prefix))
            .filter(|route| {
                route.methods.is_empty() || route.methods.iter().any(|name| name == method)
            })
            .max_by_key(|route| (route.path_prefix.len(), !route.methods.is_empty()))
    }

    /// Returns the addresses of all services, sorted and without duplicates.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        let mut addresses: Vec<_> = self.routes.iter().map(|route| route.address).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }
}
