//! Files that are checked together.

use std::path::{
    Path,
    PathBuf, //
};

use carobdrum_core::{
    version::{
        read_pools,
        read_routes,
        read_tables,
        PoolTable,
        MAX_TABLE_BYTES, //
    },
    FileFault,
    ParsedFile, //
};
use carobdrum_platform::{
    render_sample,
    SampleRole, //
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

use crate::cmd::file_kind::FileKind;

/// A file and its faults.
#[derive(Debug)]
pub(crate) struct CheckedFile {
    /// Path as given on the command line.
    pub(crate) path: PathBuf,
    /// Faults found so far, in the order of the checks.
    pub(crate) faults: Vec<FileFault>,
    kind: Option<FileKind>,
    bytes: Vec<u8>,
    content: FileContent,
}

/// Content of a file without faults, against which other files are checked.
#[derive(Debug)]
enum FileContent {
    None,
    Pools(PoolTable),
    Balancer(Box<BalancerSettings>),
    Agent(Box<AgentSettings>),
}

/// All files of one invocation of `check`.
#[derive(Debug)]
pub(crate) struct CheckSet {
    files: Vec<CheckedFile>,
}

impl CheckSet {
    /// Reads the files; a path that is given twice is read once.
    pub(crate) fn read(paths: &[PathBuf]) -> CheckSet {
        let mut files: Vec<CheckedFile> = Vec::new();
        for path in paths {
            if files.iter().all(|file| file.path != *path) {
                files.push(CheckedFile::read(path));
            }
        }
        CheckSet { files }
    }

    /// Returns the files in the order of the command line.
    pub(crate) fn files(&self) -> &[CheckedFile] {
        &self.files
    }

    /// Checks the tables; those of routes and pools that belong together are checked as a pair.
    pub(crate) fn check_tables(&mut self) {
        for index in 0..self.files.len() {
            match (self.files[index].kind, self.matching_table(index)) {
                (Some(FileKind::Routes), Some(pools)) => self.check_pair(index, pools),
                (Some(FileKind::Routes), None) => self.files[index].check_routes(),
                (Some(FileKind::Pools), None) => self.files[index].check_pools(),
                // A table of pools with a matching table of routes is checked along with it.
                _ => (),
            }
        }
    }

    /// Checks each settings file, then all against each other and against the table of pools.
    pub(crate) fn check_settings(&mut self) {
        for file in &mut self.files {
            match file.kind {
                Some(FileKind::Balancer) => file.check_balancer(),
                Some(FileKind::Agent) => file.check_agent(),
                Some(FileKind::Node) => file.check_node(),
                Some(FileKind::NodeTemplate) => file.check_template(),
                _ => (),
            }
        }
        for index in 0..self.files.len() {
            let faults = self.cross_file_faults(index);
            self.files[index].faults.extend(faults);
        }
    }

    /// Returns the table that belongs to the table at `index`: the only one of the other kind in
    /// the same folder if each kind exists there once, or else the only one of the other kind if
    /// each kind was given once.
    fn matching_table(&self, index: usize) -> Option<usize> {
        let kind = self.files[index].kind?;
        let other = match kind {
            FileKind::Routes => FileKind::Pools,
            FileKind::Pools => FileKind::Routes,
            _ => return None,
        };
        let folder = self.files[index].folder();
        let in_same_folder = |file: &CheckedFile| file.folder() == folder;
        if self.find_unique(kind, in_same_folder).is_some() {
            if let Some(found) = self.find_unique(other, in_same_folder) {
                return Some(found);
            }
        }
        self.find_unique(kind, |_| true)?;
        self.find_unique(other, |_| true)
    }

    /// Returns the file of `kind` that meets the condition, or `None` if there is none or several.
    fn find_unique(&self, kind: FileKind, accepts: impl Fn(&CheckedFile) -> bool) -> Option<usize> {
        let mut found = self
            .files
            .iter()
            .enumerate()
            .filter(|(_, file)| file.kind == Some(kind) && accepts(file));
        let (index, _) = found.next()?;
        found.next().is_none().then_some(index)
    }

    fn check_pair(&mut self, routes: usize, pools: usize) {
        match read_tables(&self.files[routes].bytes, &self.files[pools].bytes) {
            Ok((_, table)) => self.files[pools].content = FileContent::Pools(table),
            Err(faults) => {
                self.files[routes].faults = faults.routes;
                self.files[pools].faults = faults.pools;
            }
        }
    }

    /// Returns the faults of the settings at `index` in comparison with the other files.
    fn cross_file_faults(&self, index: usize) -> Vec<FileFault> {
        let file = &self.files[index];
        let Some(process) = file.process() else {
            return Vec::new();
        };
        let mut faults = Vec::new();
        for earlier in &self.files[..index] {
            if earlier.deployment() == file.deployment() {
                check_distinct(earlier, file, &mut faults);
            }
        }
        let in_same_folder = |other: &CheckedFile| other.folder() == file.folder();
        let pools = self.find_unique(FileKind::Pools, in_same_folder);
        if let Some(FileContent::Pools(table)) = pools.map(|at| &self.files[at].content) {
            check_pool_table(process, table, file.agent().is_some(), &mut faults);
        }
        faults
    }
}

impl CheckedFile {
    fn read(path: &Path) -> CheckedFile {
        let mut file = CheckedFile {
            path: path.into(),
            faults: Vec::new(),
            kind: None,
            bytes: Vec::new(),
            content: FileContent::None,
        };
        match read_bounded(path, MAX_TABLE_BYTES) {
            Ok(bytes) => {
                file.kind = FileKind::detect(path, &bytes);
                file.bytes = bytes;
                file.check_kind();
            }
            Err(error) => file.add_read_error(error),
        }
        file
    }

    /// Adds faults if the kind of the file is unknown.
    fn check_kind(&mut self) {
        if self.kind.is_some() {
            return;
        }
        let text = ParsedFile::read(&self.bytes, MAX_TABLE_BYTES, &[]);
        self.faults = if text.is_parsed() {
            let allowed = "a table of routes or pools, or settings of a balancer or an agent";
            vec![file_fault("", "fields of no known kind".into(), allowed)]
        } else {
            text.into_faults()
        };
    }

    fn check_routes(&mut self) {
        if let Err(faults) = read_routes(&self.bytes) {
            self.faults = faults;
        }
    }

    fn check_pools(&mut self) {
        match read_pools(&self.bytes) {
            Ok(table) => self.content = FileContent::Pools(table),
            Err(faults) => self.faults = faults,
        }
    }

    fn check_balancer(&mut self) {
        match read_balancer(&self.path) {
            Ok(settings) => self.content = FileContent::Balancer(Box::new(settings)),
            Err(error) => self.add_read_error(error),
        }
    }

    fn check_agent(&mut self) {
        match read_agent(&self.path) {
            Ok(settings) => self.content = FileContent::Agent(Box::new(settings)),
            Err(error) => self.add_read_error(error),
        }
    }

    fn check_node(&mut self) {
        if let Err(faults) = parse_flow_settings(&self.bytes) {
            self.faults = faults;
        }
    }

    /// Checks the settings that the platform renders from a template for the VMs of both roles.
    fn check_template(&mut self) {
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

    fn folder(&self) -> Option<&Path> {
        self.path.parent()
    }

    fn agent(&self) -> Option<&AgentSettings> {
        match &self.content {
            FileContent::Agent(settings) => Some(settings),
            _ => None,
        }
    }

    fn process(&self) -> Option<&ProcessSettings> {
        match &self.content {
            FileContent::Agent(settings) => Some(&settings.process),
            FileContent::Balancer(settings) => Some(&settings.process),
            _ => None,
        }
    }

    fn deployment(&self) -> Option<&CompactString> {
        match &self.content {
            FileContent::Agent(settings) => Some(&settings.store.deployment),
            FileContent::Balancer(settings) => Some(&settings.store.deployment),
            _ => None,
        }
    }
}

/// Adds a fault for each value that two processes of one deployment share but must not.
fn check_distinct(earlier: &CheckedFile, file: &CheckedFile, faults: &mut Vec<FileFault>) {
    let (Some(other), Some(process)) = (earlier.process(), file.process()) else {
        return;
    };
    let owner = earlier.path.to_string_lossy();
    if other.name == process.name {
        let found = format_compact!("`{}`, as in {owner}", process.name);
        let allowed = "a name used once in a deployment";
        faults.push(file_fault("process.name", found, allowed));
    }
    if other.address == process.address {
        let found = format_compact!("{}, as in {owner}", process.address);
        let allowed = "an address used once in a deployment";
        faults.push(file_fault("process.address", found, allowed));
    }
    let (Some(other), Some(agent)) = (earlier.agent(), file.agent()) else {
        return;
    };
    if other.server == agent.server && other.process.address.ip() == agent.process.address.ip() {
        let found = format_compact!("{}, as in {owner}", agent.server);
        faults.push(file_fault("server", found, "one agent for a server"));
    }
}

/// Adds faults if the table of pools doesn't list the process's data centre, or has no pool for an
/// agent's server.
fn check_pool_table(
    process: &ProcessSettings,
    table: &PoolTable,
    is_agent: bool,
    faults: &mut Vec<FileFault>,
) {
    let mut centres = table.data_centres.iter();
    if !centres.any(|centre| centre.name == process.data_centre) {
        let found = format_compact!("`{}`", process.data_centre);
        let allowed = "a data centre of the table of pools";
        faults.push(file_fault("process.data_centre", found, allowed));
    }
    if is_agent && table.pool_for_server(&process.name).is_none() {
        let found = format_compact!("`{}`", process.name);
        let allowed = "a server's name that a pool of the table matches";
        faults.push(file_fault("process.name", found, allowed));
    }
}

fn file_fault(field: &str, found: CompactString, allowed: &str) -> FileFault {
    FileFault {
        line: None,
        field: field.into(),
        found,
        allowed: allowed.into(),
    }
}
