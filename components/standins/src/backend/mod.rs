//! Stand-in for a backend server.

mod backend_routes;
mod backend_server;
mod backend_settings;
mod backend_shared;
mod backend_stats;
mod body_chunk;
mod load_meter;
mod response_body;
mod run_counter;
mod service_time;

pub use backend_server::BackendServer;
pub use backend_settings::BackendSettings;
pub use backend_stats::BackendStats;
pub use body_chunk::{
    body_chunk,
    fill_body_chunk, //
};
pub use run_counter::RunCount;
pub use service_time::ServiceTime;
