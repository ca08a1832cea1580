//! Settings of the balancer.

use std::net::Ipv4Addr;

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};

/// Settings of a balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Identity and addresses.
    pub process: ProcessSettings,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// IP at which service ports are opened, for a fabric that rewrites the destination address;
    /// without it, the service addresses themselves are opened.
    pub listen_ip: Option<Ipv4Addr>,
    /// Traffic threads.
    #[serde(default = "default_threads")]
    pub threads: u16,
}

fn default_threads() -> u16 {
    1
}
