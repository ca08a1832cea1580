//! Stand-ins for the fabric, the store and backend servers, with fault injection.
//!
//! Each stand-in runs as tokio tasks on a loopback address. Its `start` returns a cloneable handle
//! that injects faults; the tasks end when the last handle is dropped.

mod backend;
mod fabric;
mod loopback_range;
mod port_mode;
mod port_switch;
mod standin_error;
mod store;

pub use backend::{
    body_chunk,
    fill_body_chunk,
    BackendServer,
    BackendSettings,
    BackendStats,
    RunCount,
    ServiceTime, //
};
pub use fabric::{
    FabricRelay,
    RelayCounts,
    RelaySettings, //
};
pub use loopback_range::LoopbackRange;
pub use port_mode::PortMode;
pub use standin_error::StandinError;
pub use store::{
    RequestCounts,
    StoreServer, //
};
