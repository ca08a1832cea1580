//! Settings of the agent.

use std::{
    net::SocketAddr,
    path::{
        Path,
        PathBuf, //
    }, //
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
    file_check::{
        check_certificates,
        check_key, //
    },
    hedge_settings::HEDGING_SCHEMA,
    process_settings::{
        check_host,
        LOG_SCHEMA,
        PROCESS_SCHEMA,
        STORE_SCHEMA, //
    },
    HedgeSettings,
    LogSettings,
    ProcessSettings,
    StoreSettings, //
};

/// Shortest drain timeout, in milliseconds.
const MIN_DRAIN_TIMEOUT_MS: u32 = 100;

/// Longest drain timeout, in milliseconds: one hour.
const MAX_DRAIN_TIMEOUT_MS: u32 = 3_600_000;

/// Schema of an agent's settings file.
pub(crate) const AGENT_SCHEMA: &[FieldSchema] = &[
    FieldSchema::required("process", FieldKind::Section(PROCESS_SCHEMA)),
    FieldSchema::required("store", FieldKind::Section(STORE_SCHEMA)),
    FieldSchema::optional("log", FieldKind::Section(LOG_SCHEMA)),
    FieldSchema::required("server", FieldKind::Address),
    FieldSchema::required("certificate_file", FieldKind::Text),
    FieldSchema::required("key_file", FieldKind::Text),
    FieldSchema::optional(
        "drain_timeout_ms",
        FieldKind::Number {
            min: MIN_DRAIN_TIMEOUT_MS,
            max: MAX_DRAIN_TIMEOUT_MS,
        },
    ),
    FieldSchema::optional("hedging", FieldKind::Section(HEDGING_SCHEMA)),
];

/// Settings of an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// Identity and addresses of the process.
    pub process: ProcessSettings,
    /// Where the platform's key-value store is.
    pub store: StoreSettings,
    /// Format and filter of the log; text at level info if absent.
    #[serde(default)]
    pub log: LogSettings,
    /// Address (TCP) of the backend server.
    pub server: SocketAddr,
    /// File with the certificate chain, in PEM.
    pub certificate_file: PathBuf,
    /// File with the private key, in PEM.
    pub key_file: PathBuf,
    /// Longest time that a graceful shutdown waits for requests to end, in milliseconds; 30 s if
    /// absent.
    #[serde(default = "default_drain")]
    pub drain_timeout_ms: u32,
    /// Limits of hedged requests; off if absent.
    #[serde(default)]
    pub hedging: HedgeSettings,
}

impl AgentSettings {
    /// Resolves relative file names against `folder`.
    pub(crate) fn resolve(&mut self, folder: &Path) {
        self.process.resolve(folder);
        self.certificate_file = folder.join(&self.certificate_file);
        self.key_file = folder.join(&self.key_file);
    }

    /// Checks the values and the files that they name, and adds each fault to `file`.
    pub(crate) fn check(&self, file: &mut ParsedFile) {
        self.process.check(file);
        self.store.check(file);
        self.log.check(file);
        check_host("server", self.server, file);
        if self.server == SocketAddr::V4(self.process.address) {
            let allowed = "an address other than that of the agent";
            file.add("server", self.server.to_compact_string(), allowed);
        }
        check_certificates("certificate_file", &self.certificate_file, file);
        check_key("key_file", &self.key_file, file);
    }
}

fn default_drain() -> u32 {
    30_000
}
