//! Files that are checked together.

use std::path::PathBuf;

use carobdrum_core::{
    version::{
        read_tables,
        PoolTable, //
    },
    FileFault, //
};
use carobdrum_settings::ProcessSettings;
use compact_str::format_compact;

use crate::cmd::{
    checked_file::{
        file_fault,
        CheckedFile,
        FileContent, //
    },
    file_kind::FileKind, //
};

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

    /// Checks each configuration document of the platform.
    pub(crate) fn check_documents(&mut self) {
        for file in &mut self.files {
            if file.kind == Some(FileKind::Document) {
                file.check_document();
            }
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
