//! Optional features of the roles that forward opaque flows.

use carobdrum_core::{
    FieldKind,
    FieldSchema, //
};
use serde::Deserialize;

/// Schema of the section of the options.
pub(crate) const OPTIONS_SCHEMA: &[FieldSchema] = &[
    FieldSchema::optional("reset_lost", FieldKind::Boolean),
    FieldSchema::optional("schedule_requests", FieldKind::Boolean),
    FieldSchema::optional("weigh_servers", FieldKind::Boolean),
];

/// Optional features of a process that forwards opaque flows; each is off if absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FlowOptions {
    /// Whether open flows that no live backend server holds are searched for and reset.
    pub reset_lost: bool,
    /// Whether an agent holds back requests on open flows while more urgent ones need the slots.
    pub schedule_requests: bool,
    /// Whether balancers place new flows by the speed and the open flows of the servers.
    pub weigh_servers: bool,
}
