//! Stand-in for the network fabric, which forwards each packet to any balancer.

mod caller_port;
mod delay_queue;
mod fabric_relay;
mod relay_counts;
mod relay_faults;
mod relay_settings;
mod relay_shared;
mod relay_socket;
mod service_port;
mod task_guard;

pub use fabric_relay::FabricRelay;
pub use relay_counts::RelayCounts;
pub use relay_settings::RelaySettings;
