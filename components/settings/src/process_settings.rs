//! Settings that every daemon has.

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

/// What the address of another process or of this one may be.
const HOST_ALLOWED: &str = "the address of one host and a port other than 0";

/// Fields of the section `process`.
pub(crate) const PROCESS_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("name", FieldKind::Text),
    FieldSchema::required("data_centre", FieldKind::Text),
    FieldSchema::required("region", FieldKind::Text),
    FieldSchema::required("address", FieldKind::Address4),
    FieldSchema::required("secret_file", FieldKind::Text),
    FieldSchema::optional("bootstrap", FieldKind::AddressList),
    FieldSchema::optional("metrics_address", FieldKind::Address),
];

/// Fields of the section `store`.
pub(crate) const STORE_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("address", FieldKind::Address),
    FieldSchema::required("deployment", FieldKind::Text),
];

/// Fields of the section `log`.
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
    /// Control addresses to ask when the store is down, such as the fabric's.
    #[serde(default)]
    pub bootstrap: Vec<SocketAddrV4>,
    /// Address at which metrics are served; none are when absent.
    pub metrics_address: Option<SocketAddr>,
}

impl ProcessSettings {
    /// Makes relative file names relative to `folder`.
    pub(crate) fn resolve(&mut self, folder: &Path) {
        self.secret_file = folder.join(&self.secret_file);
    }

    /// Checks the values, and the secret file.
    pub(crate) fn check(&self, text: &mut ParsedFile) {
        check_name("process.name", &self.name, text);
        check_name("process.data_centre", &self.data_centre, text);
        check_name("process.region", &self.region, text);
        // Members are known to each other by this address, so it must be the one they can reach.
        check_host("process.address", self.address.into(), text);
        check_secret("process.secret_file", &self.secret_file, text);
        for (index, address) in self.bootstrap.iter().enumerate() {
            let field = format_compact!("process.bootstrap[{index}]");
            check_host(&field, (*address).into(), text);
        }
        let Some(metrics) = self.metrics_address else {
            return;
        };
        let field = "process.metrics_address";
        if metrics == SocketAddr::V4(self.address) {
            let allowed = "an address other than `process.address`, whose TCP port is in use";
            text.add(field, metrics.to_compact_string(), allowed);
        }
        if metrics.port() == 0 {
            let allowed = "a port other than 0";
            text.add(field, metrics.to_compact_string(), allowed);
        }
    }
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

impl StoreSettings {
    /// Checks the values.
    pub(crate) fn check(&self, text: &mut ParsedFile) {
        check_host("store.address", self.address, text);
        check_name("store.deployment", &self.deployment, text);
    }
}

/// Adds a fault unless `name` is well-formed.
fn check_name(field: &str, name: &str, text: &mut ParsedFile) {
    if !is_name(name) {
        text.add(field, format_compact!("`{name}`"), NAME_ALLOWED);
    }
}

/// Adds a fault unless `address` can be sent to.
pub(crate) fn check_host(field: &str, address: SocketAddr, text: &mut ParsedFile) {
    let ip = address.ip();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let is_host = !ip.is_unspecified() && !ip.is_multicast() && !is_broadcast;
    if address.port() == 0 || !is_host {
        text.add(field, address.to_compact_string(), HOST_ALLOWED);
    }
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

impl LogSettings {
    /// Checks the values.
    pub(crate) fn check(&self, text: &mut ParsedFile) {
        if let Err(error) = EnvFilter::builder().parse(&self.filter) {
            let found = format_compact!("`{}` ({error})", self.filter);
            let allowed = "a level or a list of `target=level`, such as `info,hop=debug`";
            text.add("log.filter", found, allowed);
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
