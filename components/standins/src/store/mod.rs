//! Stand-in for the platform's key-value store.

mod call_counts;
mod kv_state;
mod store_faults;
mod store_server;

pub use call_counts::CallCounts;
pub use store_server::StoreServer;
