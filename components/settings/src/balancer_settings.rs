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

/// Most traffic threads of a balancer.
const MAX_THREADS: u32 = 64;

/// Fields of a balancer's settings.
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

impl BalancerSettings {
    /// Makes relative file names relative to `folder`.
    pub(crate) fn resolve(&mut self, folder: &Path) {
        self.process.resolve(folder);
    }

    /// Checks the values, and the files that they name.
    pub(crate) fn check(&self, text: &mut ParsedFile) {
        self.process.check(text);
        self.store.check(text);
        self.log.check(text);
        let Some(ip) = self.listen_ip else {
            return;
        };
        if ip.is_multicast() || ip.is_broadcast() {
            let allowed = "an IPv4 address of this host, or `0.0.0.0` for all";
            text.add("listen_ip", ip.to_compact_string(), allowed);
        }
    }
}

fn default_threads() -> u16 {
    1
}
