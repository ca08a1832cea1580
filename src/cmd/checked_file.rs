//! A file that is checked.

use std::path::{
    Path,
    PathBuf, //
};

use carobdrum_core::{
    version::{
        read_pools,
        read_routes,
        PoolTable,
        MAX_TABLE_BYTES, //
    },
    FileFault,
    ParsedFile, //
};
use carobdrum_platform::{
    render_sample,
    ConfigDocument,
    ConfigFinding,
    SampleRole,
    MAX_CONFIG_BYTES, //
};
use carobdrum_settings::{
    parse_flow_settings,
    read_agent,
    read_balancer,
    read_bounded,
    AgentSettings,
    BalancerSettings,
    ProcessSettings,
    SettingsError, //
};
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};

use crate::cmd::{
    config_rules::judge_document,
    file_kind::FileKind, //
};

/// A file and its faults.
#[derive(Debug)]
pub(crate) struct CheckedFile {
    /// Path as given on the command line.
    pub(crate) path: PathBuf,
    /// Faults found so far, in the order of the checks.
    pub(crate) faults: Vec<FileFault>,
    /// Faults of a configuration document, sorted by position.
    pub(crate) findings: Vec<ConfigFinding>,
    /// Kind of the file; `None` if it is unknown or the file can't be read.
    pub(crate) kind: Option<FileKind>,
    /// Bytes of the file, up to one beyond the limit of its kind.
    pub(crate) bytes: Vec<u8>,
    /// Content for comparison with other files.
    pub(crate) content: FileContent,
}

/// Content against which other files are checked: that of a file without faults, or of a
/// configuration document of which all entries were parsed.
#[derive(Debug)]
pub(crate) enum FileContent {
    None,
    Pools(PoolTable),
    Balancer(Box<BalancerSettings>),
    Agent(Box<AgentSettings>),
    Document(Box<ConfigDocument>),
}

impl CheckedFile {
    fn new(path: &Path) -> CheckedFile {
        CheckedFile {
            path: path.into(),
            faults: Vec::new(),
            findings: Vec::new(),
            kind: None,
            bytes: Vec::new(),
            content: FileContent::None,
        }
    }

    /// Reads a file and detects its kind.
    pub(crate) fn read(path: &Path) -> CheckedFile {
        let mut file = CheckedFile::new(path);
        match read_bounded(path, MAX_CONFIG_BYTES) {
            Ok(mut bytes) => {
                let head_len = bytes.len().min(MAX_TABLE_BYTES + 1);
                file.kind = FileKind::detect(path, &bytes[..head_len]);
                if file.kind != Some(FileKind::Document) {
                    bytes.truncate(head_len);
                }
                file.bytes = bytes;
                file.check_kind();
            }
            Err(error) => file.add_read_error(error),
        }
        file
    }

    /// Reads a configuration document that others are compared with. Only faults for which it
    /// can't be compared are kept.
    pub(crate) fn read_document(path: &Path) -> CheckedFile {
        let mut file = CheckedFile::new(path);
        match read_bounded(path, MAX_CONFIG_BYTES) {
            Ok(bytes) => {
                let document = ConfigDocument::parse(&bytes);
                if document.is_partial {
                    file.findings.clone_from(&document.findings);
                }
                file.set_document(document);
            }
            Err(error) => file.add_read_error(error),
        }
        file
    }

    /// Returns the configuration document of the file if all of its entries were parsed.
    pub(crate) fn document(&self) -> Option<&ConfigDocument> {
        match &self.content {
            FileContent::Document(document) => Some(document),
            _ => None,
        }
    }

    /// Checks a configuration document of the platform.
    pub(crate) fn check_document(&mut self) {
        let document = ConfigDocument::parse(&self.bytes);
        self.findings = judge_document(&document);
        self.set_document(document);
    }

    fn set_document(&mut self, document: ConfigDocument) {
        if !document.is_partial {
            self.content = FileContent::Document(Box::new(document));
        }
    }

    /// Adds faults if the kind of the file is unknown.
    fn check_kind(&mut self) {
        if self.kind.is_some() {
            return;
        }
        let text = ParsedFile::read(&self.bytes, MAX_TABLE_BYTES, &[]);
        self.faults = if text.is_parsed() {
            let allowed = "a table of routes or pools, settings of a balancer or an agent, or a \
            configuration document";
            vec![file_fault("", "fields of no known kind".into(), allowed)]
        } else {
            text.into_faults()
        };
    }

    pub(crate) fn check_routes(&mut self) {
        if let Err(faults) = read_routes(&self.bytes) {
            self.faults = faults;
        }
    }

    pub(crate) fn check_pools(&mut self) {
        match read_pools(&self.bytes) {
            Ok(table) => self.content = FileContent::Pools(table),
            Err(faults) => self.faults = faults,
        }
    }

    pub(crate) fn check_balancer(&mut self) {
        match read_balancer(&self.path) {
            Ok(settings) => self.content = FileContent::Balancer(Box::new(settings)),
            Err(error) => self.add_read_error(error),
        }
    }

    pub(crate) fn check_agent(&mut self) {
        match read_agent(&self.path) {
            Ok(settings) => self.content = FileContent::Agent(Box::new(settings)),
            Err(error) => self.add_read_error(error),
        }
    }

    pub(crate) fn check_node(&mut self) {
        if let Err(faults) = parse_flow_settings(&self.bytes) {
            self.faults = faults;
        }
    }

    /// Checks the settings that the platform renders from a template for the VMs of both roles.
    pub(crate) fn check_template(&mut self) {
        let Ok(template) = std::str::from_utf8(&self.bytes) else {
            let allowed = "UTF-8 text";
            self.faults = vec![file_fault("", "bytes that aren't UTF-8".into(), allowed)];
            return;
        };
        let mut faults = Vec::new();
        for role in [SampleRole::Balancer, SampleRole::Agent] {
            match render_sample(template, role) {
                Ok(text) => faults.extend(parse_flow_settings(text.as_bytes()).err()),
                Err(error) => {
                    let found = error.to_compact_string();
                    let allowed = "a template that the platform can render";
                    faults.push(vec![file_fault("", found, allowed)]);
                }
            }
        }
        self.faults = faults.concat();
        self.faults.dedup();
    }

    fn add_read_error(&mut self, error: SettingsError) {
        let allowed = "a readable file of UTF-8 text";
        match error {
            SettingsError::Faulty { faults, .. } => self.faults = faults,
            SettingsError::Unreadable { source, .. } => {
                let found = format_compact!("an unreadable file ({source})");
                self.faults.push(file_fault("", found, allowed));
            }
            SettingsError::NotAFile { .. } => {
                let found = "a folder, a pipe or a device".into();
                self.faults.push(file_fault("", found, allowed));
            }
            other => {
                let found = other.to_compact_string();
                self.faults.push(file_fault("", found, allowed));
            }
        }
    }

    pub(crate) fn folder(&self) -> Option<&Path> {
        self.path.parent()
    }

    pub(crate) fn agent(&self) -> Option<&AgentSettings> {
        match &self.content {
            FileContent::Agent(settings) => Some(settings),
            _ => None,
        }
    }

    pub(crate) fn process(&self) -> Option<&ProcessSettings> {
        match &self.content {
            FileContent::Agent(settings) => Some(&settings.process),
            FileContent::Balancer(settings) => Some(&settings.process),
            _ => None,
        }
    }

    pub(crate) fn deployment(&self) -> Option<&CompactString> {
        match &self.content {
            FileContent::Agent(settings) => Some(&settings.store.deployment),
            FileContent::Balancer(settings) => Some(&settings.store.deployment),
            _ => None,
        }
    }
}

/// Returns a fault that concerns a field of a file, or the whole file if `field` is empty.
pub(crate) fn file_fault(field: &str, found: CompactString, allowed: &str) -> FileFault {
    FileFault {
        line: None,
        field: field.into(),
        found,
        allowed: allowed.into(),
    }
}
