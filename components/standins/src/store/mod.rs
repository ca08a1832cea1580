//! Stand-in for the deployment's key-value store.

mod call_counts;
mod kv_api;
mod kv_state;
mod session_api;
mod store_faults;
mod store_response;
mod store_routes;
mod store_server;
mod store_shared;

pub use call_counts::CallCounts;
pub use store_server::StoreServer;
