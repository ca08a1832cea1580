//! What lives for one version of the configuration.

mod config_version;
mod fleet_key;
mod key_ring;
mod pool_table;
mod route_table;
mod service_id;
mod table_fault;
mod version_gate;

pub use config_version::{
    check_tables,
    ConfigVersion,
    NamedId, //
};
pub use fleet_key::FleetKey;
pub use key_ring::{
    KeyRing,
    RESET_TOKEN_LEN, //
};
pub use pool_table::{
    CentreEntry,
    CentreState,
    PoolEntry,
    PoolState,
    PoolTable, //
};
pub use route_table::{
    PriorityClass,
    RouteEntry,
    RouteTable, //
};
pub use service_id::{
    CentreId,
    ServiceId, //
};
pub use table_fault::{
    TableError,
    TableFault, //
};
pub use version_gate::{
    GateVerdict,
    VersionGate, //
};
