//! Settings of the balancer.

use std::{
    net::Ipv4Addr,
    path::Path, //
};

use carobdrum_core::{
    FieldKind,
    FieldSchema,
    ParsedFile, //
};
use compact_str::ToCompactString;
use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    process_settings::{
        LOG_SCHEMA,
        PROCESS_SCHEMA,
        STORE_SCHEMA, //
    },
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};

/// Largest number of traffic threads.
const MAX_THREADS: u32 = 64;

/// Schema of a balancer's settings file.
pub(crate) const BALANCER_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("process", FieldKind::Section(PROCESS_SCHEMA)),
    FieldSchema::required("store", FieldKind::Section(STORE_SCHEMA)),
    FieldSchema::optional("log", FieldKind::Section(LOG_SCHEMA)),
    FieldSchema::optional("listen_ip", FieldKind::Ip4),
    FieldSchema::optional(
        "threads",
        FieldKind::Number {
            min: 1,
            max: MAX_THREADS,
        },
    ),
];

/// Settings of a balancer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BalancerSettings {
    /// Identity and addresses of the process.
    pub process: ProcessSettings,
    /// Where the platform's key-value store is.
    pub store: StoreSettings,
    /// Format and filter of the log; text at level info if absent.
    #[serde(default)]
    pub log: LogSettings,
    /// IP address at which the ports of services are opened, for a network fabric that rewrites the
    /// destination address. If absent, the service addresses themselves are opened.
    pub listen_ip: Option<Ipv4Addr>,
    /// Number of threads that forward traffic; 1 if absent.
    #[serde(default = "default_threads")]
    pub threads: u16,
}

impl BalancerSettings {
    /// Resolves relative file names against `folder`.
    pub(crate) fn resolve(&mut self, folder: &Path) {
        self.process.resolve(folder);
    }

    /// Checks the values and the files that they name, and adds each fault to `file`.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        self.process.check(file);
        self.store.check(file);
        self.log.check(file);
        let Some(ip) = self.listen_ip else {
            return;
        };
        if ip.is_multicast() || ip.is_broadcast() {
            let allowed = "an IPv4 address of this host, or `0.0.0.0` for all";
            file.add("listen_ip", ip.to_compact_string(), allowed);
        }
    }
}

fn default_threads() -> u16 {
    1
}
