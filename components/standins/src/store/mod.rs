//! Stand-in for the platform's key-value store.

mod kv_api;
mod kv_state;
mod request_counts;
mod session_api;
mod store_faults;
mod store_response;
mod store_routes;
mod store_server;
mod store_shared;

pub use request_counts::RequestCounts;
pub use store_server::StoreServer;
