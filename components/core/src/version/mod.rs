//! Versions of the configuration, with their tables and checks, and the fleet keys.

mod config_version;
mod fault_list;
mod fleet_key;
mod key_ring;
mod name_pattern;
mod pool_check;
mod pool_table;
mod route_check;
mod route_table;
mod service_id;
mod table_check;
mod table_fault;
mod table_text;
mod version_tracker;

pub use config_version::{
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
pub use table_check::{
    check_pool_table,
    check_route_table,
    check_tables, //
};
pub use table_fault::{
    TableError,
    TableFault, //
};
pub use table_text::{
    read_pools,
    read_routes,
    read_tables,
    TextFaults,
    MAX_TABLE_BYTES, //
};
pub use version_tracker::{
    OfferOutcome,
    VersionTracker, //
};
