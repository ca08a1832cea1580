//! Settings that every daemon has.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf,
};

use compact_str::CompactString;
use serde::{
    Deserialize,
    Serialize, //
};

/// Identity and addresses of a process.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// Name of the process; for an agent, the name of its backend server.
    pub name: CompactString,
    /// Data centre in which the process runs.
    pub data_centre: CompactString,
    /// Region of the data centre.
    pub region: CompactString,
    /// Address of the tunnel (UDP) and of control connections (TCP).
    pub address: SocketAddrV4,
    /// File with the bootstrap secret: 64 hexadecimal digits.
    pub secret_file: PathBuf,
    /// Control addresses to ask when the store is down, such as the fabric's.
    #[serde(default)]
    pub bootstrap: Vec<SocketAddrV4>,
    /// Address at which metrics are served; none are when absent.
    pub metrics_address: Option<SocketAddr>,
}

/// Where the platform's key-value service is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the service.
    pub address: SocketAddr,
    /// Prefix that keeps deployments apart in one store.
    pub deployment: CompactString,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Lines for people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Form of the lines.
    #[serde(default)]
    pub format: LogFormat,
    /// Filter by target and level, in the syntax of `tracing-subscriber`.
    #[serde(default = "default_filter")]
    pub filter: CompactString,
}

fn default_filter() -> CompactString {
    CompactString::const_new("info")
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            format: LogFormat::default(),
            filter: default_filter(),
        }
    }
}
