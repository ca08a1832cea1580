//! The table of pools: which backend servers may serve a service.

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

/// Whether a pool takes new flows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum PoolState {
    /// New flows are placed on the pool's servers.
    #[default]
    Active,
    /// Established flows go on, and no new ones are placed.
    Draining,
}

/// Whether a data centre takes part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CentreState {
    /// The data centre serves.
    #[default]
    In,
    /// The data centre gets no packets, and flows that end there are given up.
    Out,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    /// Service that the pool serves; joins the table of routes.
    pub service: CompactString,
    /// Names of backend servers, where `*` stands for any run of characters.
    pub servers: Vec<CompactString>,
    /// Requests that one server may run at once.
    pub slots: u32,
    /// Connections that one server's agent may hold.
    pub connections: u32,
    /// Whether the pool takes new flows.
    #[serde(default)]
    pub state: PoolState,
}

impl PoolEntry {
    /// Returns whether the pool may use the server `name`.
    pub fn admits(&self, name: &str) -> bool {
        self.servers
            .iter()
            .any(|pattern| pattern_matches(pattern, name))
    }
}

/// One data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CentreEntry {
    /// Name of the data centre, as in the settings of its processes.
    pub name: CompactString,
    /// Whether it takes part.
    #[serde(default)]
    pub state: CentreState,
}

/// The table of pools.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolTable {
    /// Pools, one for each service.
    #[serde(default, rename = "pool")]
    pub pools: Vec<PoolEntry>,
    /// Data centres.
    #[serde(default, rename = "data_centre")]
    pub data_centres: Vec<CentreEntry>,
}

impl PoolTable {
    /// Returns the pool of `service`.
    pub fn pool_of(&self, service: &str) -> Option<&PoolEntry> {
        self.pools.iter().find(|pool| pool.service == service)
    }

    /// Returns the pool that the server `name` belongs to.
    pub fn pool_for_server(&self, name: &str) -> Option<&PoolEntry> {
        self.pools.iter().find(|pool| pool.admits(name))
    }

    /// Returns whether operators have taken the data centre `name` out.
    ///
    /// A data centre that the table doesn't list is in.
    pub fn is_out(&self, name: &str) -> bool {
        self.data_centres
            .iter()
            .any(|centre| centre.name == name && centre.state == CentreState::Out)
    }
}
