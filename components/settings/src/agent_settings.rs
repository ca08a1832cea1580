//! Settings of the agent.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity and addresses.
    pub process: ProcessSettings,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Address of the backend server.
    pub server: SocketAddr,
    /// File with the certificate chain, in PEM.
    pub certificate_file: PathBuf,
    /// File with the private key, in PEM.
    pub key_file: PathBuf,
    /// Longest time that a planned stop waits for requests, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_timeout_ms: u32,
}

fn default_drain() -> u32 {
    30_000
}
