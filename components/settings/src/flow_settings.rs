//! Settings of the roles that forward opaque flows.

use std::net::SocketAddrV4;

use carobdrum_core::{
    FieldKind,
    FieldSchema, //
};
use compact_str::CompactString;
use serde::{
    de::Error,
    Deserialize,
    Deserializer, //
};

use crate::{
    flow_options::OPTIONS_SCHEMA,
    FlowOptions, //
};

/// Longest time in the settings, in milliseconds: one hour.
const MAX_TIME_MS: u32 = 3_600_000;

/// Largest decimal number in the settings.
const MAX_DECIMAL: f64 = 1_000_000.0;

const PORT: FieldKind = FieldKind::Number {
    min: 1,
    max: u16::MAX as u32,
};
const TIME_MS: FieldKind = FieldKind::Number {
    min: 1,
    max: MAX_TIME_MS,
};

const NODE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("name", FieldKind::Text),
    FieldSchema::required("data_centre", FieldKind::Text),
    FieldSchema::required("ip", FieldKind::Ip4),
    FieldSchema::required("peer_port", PORT),
    FieldSchema::required("packets", FieldKind::Address4),
    FieldSchema::required("ready", FieldKind::Address4),
    FieldSchema::optional("grace_s", FieldKind::Text),
    FieldSchema::optional("flow_lifetime_s", FieldKind::Text),
    FieldSchema::optional("peers", FieldKind::AddressList),
    FieldSchema::optional("metrics", FieldKind::Address4),
];

const BACKEND_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("address", FieldKind::Address4),
    FieldSchema::required("service", FieldKind::Text),
    FieldSchema::required("outgoing", FieldKind::Address4),
    FieldSchema::required("heartbeats", FieldKind::Address4),
    FieldSchema::optional("reuse_s", FieldKind::Text),
    FieldSchema::optional("cold_factor", FieldKind::Text),
    FieldSchema::optional("cold_slack", FieldKind::Text),
];

const STORE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("address", FieldKind::Address4),
    FieldSchema::required("min_lease_ms", TIME_MS),
    FieldSchema::optional("config_apply_ms", FieldKind::Text),
];

/// Schema of the settings file of a process that forwards opaque flows.
pub(crate) const FLOW_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("node", FieldKind::Section(NODE_SCHEMA)),
    FieldSchema::optional("backend", FieldKind::Section(BACKEND_SCHEMA)),
    FieldSchema::required("store", FieldKind::Section(STORE_SCHEMA)),
    FieldSchema::optional("flows", FieldKind::Section(OPTIONS_SCHEMA)),
];

/// Settings of a process that forwards opaque flows.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FlowSettings {
    /// Identity and addresses of the process.
    pub node: NodeSettings,
    /// The backend server beside an agent; absent for a balancer.
    pub backend: Option<BackendSettings>,
    /// Where the store of the users' platform is.
    pub store: LeaseStoreSettings,
    /// Optional features; all are off if absent.
    #[serde(default)]
    pub flows: FlowOptions,
}

/// Identity and addresses of a process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the process in its logs.
    pub name: CompactString,
    /// Data centre of the VM.
    pub data_centre: CompactString,
    /// Address of the VM.
    pub ip: std::net::Ipv4Addr,
    /// Port for datagrams (UDP) and snapshots (TCP) between processes; the same for all of them.
    pub peer_port: u16,
    /// Address (UDP) at which packets of callers arrive. Packets to callers go to the same port.
    pub packets: SocketAddrV4,
    /// Address (TCP) at which the platform asks whether the process is ready.
    pub ready: SocketAddrV4,
    /// Time between the signal for a graceful shutdown and the kill of the process, in seconds; 5
    /// if absent.
    #[serde(default = "default_grace", deserialize_with = "decimal")]
    pub grace_s: f64,
    /// Longest lifetime of a flow, in seconds; 60 if absent. Services that a route no longer names
    /// are searched for open flows for this time.
    #[serde(default = "default_lifetime", deserialize_with = "decimal")]
    pub flow_lifetime_s: f64,
    /// Address (TCP) at which metrics are served; if absent, none are.
    pub metrics: Option<SocketAddrV4>,
    /// Control addresses of a few other processes, which a balancer asks for a snapshot when it
    /// can't read the store. Only the IP addresses are used, with `peer_port`.
    #[serde(default)]
    pub peers: Vec<SocketAddrV4>,
}

/// The backend server beside an agent.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BackendSettings {
    /// Address (UDP) at which the server receives packets.
    pub address: SocketAddrV4,
    /// Service of the server.
    pub service: CompactString,
    /// Address (UDP) to which the server sends its packets.
    pub outgoing: SocketAddrV4,
    /// Address (TCP) to which the server sends its heartbeats.
    pub heartbeats: SocketAddrV4,
    /// Shortest time after which the address of a server that has ended may belong to another
    /// service, in seconds; 2 if absent.
    #[serde(default = "default_reuse", deserialize_with = "decimal")]
    pub reuse_s: f64,
    /// Factor by which the requests to a cold server may exceed the rate of its service; 1 if
    /// absent.
    #[serde(default = "default_factor", deserialize_with = "decimal")]
    pub cold_factor: f64,
    /// Number of requests by which a cold server may exceed that rate in addition; 0 if absent.
    #[serde(default, deserialize_with = "decimal")]
    pub cold_slack: f64,
}

/// Where the store of the users' platform is, and the leases that it grants.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseStoreSettings {
    /// Address (TCP) of the store.
    pub address: SocketAddrV4,
    /// Shortest time-to-live of a lease that the store grants, in milliseconds.
    pub min_lease_ms: u64,
    /// Time within which a change of the configuration has to be in force, in milliseconds; 3,000 if absent. It limits
    /// how long a lost response of the store goes unnoticed.
    #[serde(default = "default_config_apply", deserialize_with = "decimal")]
    pub config_apply_ms: f64,
}

fn default_grace() -> f64 {
    5.0
}

fn default_lifetime() -> f64 {
    60.0
}

fn default_config_apply() -> f64 {
    3_000.0
}

fn default_reuse() -> f64 {
    2.0
}

fn default_factor() -> f64 {
    1.0
}

/// Deserializes a decimal number from zero to [`MAX_DECIMAL`] that is written as a string.
fn decimal<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let text = CompactString::deserialize(deserializer)?;
    let number: f64 = text.parse().map_err(D::Error::custom)?;
    if (0.0..=MAX_DECIMAL).contains(&number) {
        Ok(number)
    } else {
        let expected = format_args!("{text} is not from 0 to {MAX_DECIMAL}");
        Err(D::Error::custom(expected))
    }
}
