//! Settings that balancers and agents share.

use std::{
    net::{
        IpAddr,
        SocketAddr,
        SocketAddrV4, //
    },
    path::{
        Path,
        PathBuf, //
    }, //
};

use carobdrum_core::{
    is_name,
    FieldKind,
    FieldSchema,
    ParsedFile,
    NAME_ALLOWED, //
};
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use tracing_subscriber::EnvFilter;

use crate::file_check::check_secret;

/// Allowed addresses of this process and of others.
const HOST_ALLOWED: &str = "the address of one host and a port other than 0";

/// Schema of the section `process`.
pub(crate) const PROCESS_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("name", FieldKind::Text),
    FieldSchema::required("data_centre", FieldKind::Text),
    FieldSchema::required("region", FieldKind::Text),
    FieldSchema::required("address", FieldKind::Address4),
    FieldSchema::required("secret_file", FieldKind::Text),
    FieldSchema::optional("bootstrap", FieldKind::AddressList),
    FieldSchema::optional("metrics_address", FieldKind::Address),
];

/// Schema of the section `store`.
pub(crate) const STORE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("address", FieldKind::Address),
    FieldSchema::required("deployment", FieldKind::Text),
];

/// Schema of the section `log`.
pub(crate) const LOG_SCHEMA: &[FieldSchema] = &[
    FieldSchema::optional("format", FieldKind::Choice(&["text", "json"])),
    FieldSchema::optional("filter", FieldKind::Text),
];

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
    /// Control addresses at which the process looks for balancers in addition to those in the
    /// store, so that it finds them when the store is down; for instance the fabric's.
    #[serde(default)]
    pub bootstrap: Vec<SocketAddrV4>,
    /// Address at which metrics are served; if absent, none are.
    pub metrics_address: Option<SocketAddr>,
}

impl ProcessSettings {
    /// Resolves relative file names against `folder`.
    pub(crate) fn resolve(&mut self, folder: &Path) {
        self.secret_file = folder.join(&self.secret_file);
    }

    /// Checks the values and the secret file, and adds each fault to `file`.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        check_name("process.name", &self.name, file);
        check_name("process.data_centre", &self.data_centre, file);
        check_name("process.region", &self.region, file);
        // Members identify each other by this address, so it must be one that they can reach.
        check_host("process.address", self.address.into(), file);
        check_secret("process.secret_file", &self.secret_file, file);
        for (index, address) in self.bootstrap.iter().enumerate() {
            let field = format_compact!("process.bootstrap[{index}]");
            check_host(&field, (*address).into(), file);
        }
        let Some(metrics) = self.metrics_address else {
            return;
        };
        let field = "process.metrics_address";
        if metrics == SocketAddr::V4(self.address) {
            let allowed = "an address other than `process.address`, whose TCP port is in use";
            file.add(field, metrics.to_compact_string(), allowed);
        }
        if metrics.port() == 0 {
            let allowed = "a port other than 0";
            file.add(field, metrics.to_compact_string(), allowed);
        }
    }
}

/// Where the platform's key-value store is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address (TCP) of the store.
    pub address: SocketAddr,
    /// Name of the deployment, which is part of all its keys, so that deployments can share a
    /// store.
    pub deployment: CompactString,
}

impl StoreSettings {
    /// Checks the values.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        check_host("store.address", self.address, file);
        check_name("store.deployment", &self.deployment, file);
    }
}

/// Adds a fault unless `name` is well-formed.
fn check_name(field: &str, name: &str, file: &mut ParsedFile) {
    if !is_name(name) {
        file.add(field, format_compact!("`{name}`"), NAME_ALLOWED);
    }
}

/// Adds a fault unless `address` is the address of one host, with a port.
pub(crate) fn check_host(field: &str, address: SocketAddr, file: &mut ParsedFile) {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let is_host = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
    if address.port() == 0 || !is_host {
        file.add(field, address.to_compact_string(), HOST_ALLOWED);
    }
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text for human readers.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Format and filter of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Format of the lines; text if absent.
    #[serde(default)]
    pub format: LogFormat,
    /// Filter by target and level, in the syntax of `tracing-subscriber`; `info` if absent.
    #[serde(default = "default_filter")]
    pub filter: CompactString,
}

fn default_filter() -> CompactString {
    CompactString::const_new("info")
}

impl LogSettings {
    /// Checks the values.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        if let Err(error) = EnvFilter::builder().parse(&self.filter) {
            let found = format_compact!("`{}` ({error})", self.filter);
            let allowed = "a level or a list of `target=level`, such as `info,hop=debug`";
            file.add("log.filter", found, allowed);
        }
    }
}

impl Default for LogSettings {
    fn default() -> LogSettings {
        LogSettings {
            format: LogFormat::default(),
            filter: default_filter(),
        }
    }
}
