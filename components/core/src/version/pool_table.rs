//! Table of pools: which backend servers may serve a service.

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    name_pattern::pattern_matches,
    pool_check::{
        MAX_CONNECTIONS,
        MAX_SLOTS, //
    }, //
};
use crate::{
    FieldKind,
    FieldSchema, //
};

/// Fields of pools.toml.
pub(super) const POOLS_SCHEMA: &[FieldSchema] = &[
    FieldSchema::optional("pool", FieldKind::SectionList(POOL_SCHEMA)),
    FieldSchema::optional("data_centre", FieldKind::SectionList(CENTRE_SCHEMA)),
];

const POOL_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("service", FieldKind::Text),
    FieldSchema::required("servers", FieldKind::TextList),
    FieldSchema::required(
        "slots",
        FieldKind::Number {
            min: 1,
            max: MAX_SLOTS,
        },
    ),
    FieldSchema::required(
        "connections",
        FieldKind::Number {
            min: 1,
            max: MAX_CONNECTIONS,
        },
    ),
    FieldSchema::optional("state", FieldKind::Choice(&["active", "draining"])),
];

const CENTRE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("name", FieldKind::Text),
    FieldSchema::optional("state", FieldKind::Choice(&["in", "out"])),
];

/// Whether new flows are placed on a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolState {
    /// New flows are placed on the pool's servers.
    #[default]
    Active,
    /// Established flows continue, but no new ones are placed.
    Draining,
}

/// Whether a data centre is in service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CentreState {
    /// The data centre is in service.
    #[default]
    In,
    /// The data centre is evacuated: it gets no packets, and flows to its agents are abandoned.
    Out,
}

/// One row of the table of pools.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Service that the pool serves; the table of routes refers to it by the same name.
    pub service: CompactString,
    /// Names or patterns of backend servers, where `*` matches any number of characters.
    pub servers: Vec<CompactString>,
    /// Requests that one server may run at once, 1 to 10,000.
    pub slots: u32,
    /// Connections that one server's agent may hold, 1 to 100,000.
    pub connections: u32,
    /// Whether new flows are placed on the pool; active by default.
    #[serde(default)]
    pub state: PoolState,
}

impl PoolEntry {
    /// Returns whether the server `name` belongs to the pool.
    pub fn matches_server(&self, name: &str) -> bool {
        self.servers
            .iter()
            .any(|pattern| pattern_matches(pattern, name))
    }
}

/// Row of the table of pools that describes a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Name of the data centre, as in the settings of its processes.
    pub name: CompactString,
    /// Whether it is in service, which is the default.
    #[serde(default)]
    pub state: CentreState,
}

/// Content of pools.toml.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTable {
    /// Pools, one for each service.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolEntry>,
    /// Data centres whose state is set; one that isn't listed is in service.
    #[serde(default, rename = "data_centre")]
    pub data_centres: Vec<CentreEntry>,
}

impl PoolTable {
    /// Returns the pool that serves `service`.
    pub fn pool_of(&self, service: &str) -> Option<&PoolEntry> {
        self.pools.iter().find(|pool| pool.service == service)
    }

    /// Returns the pool that the server `name` belongs to; the check of the tables allows only one.
    pub fn pool_for_server(&self, name: &str) -> Option<&PoolEntry> {
        self.pools.iter().find(|pool| pool.matches_server(name))
    }

    /// Returns whether operators have evacuated the data centre `name`.
    ///
    /// A data centre that the table doesn't list is in service.
    pub fn is_evacuated(&self, name: &str) -> bool {
        self.data_centres
            .iter()
            .any(|centre| centre.name == name && centre.state == CentreState::Out)
    }
}
