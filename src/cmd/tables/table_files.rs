//! The files routes.toml and pools.toml of an edit.

use std::{
    fs::OpenOptions,
    io::Write,
    path::{
        Path,
        PathBuf, //
    }, //
};

use carobdrum_core::version::{
    read_tables,
    ConfigVersion,
    PoolTable,
    RouteTable,
    MAX_TABLE_BYTES, //
};
use carobdrum_settings::read_bounded;
use compact_str::{
    format_compact,
    CompactString, //
};
use snafu::{
    ensure,
    ResultExt, //
};

use crate::cmd::{
    command_error::{
        EncodeSnafu,
        FaultySnafu,
        FileExistsSnafu,
        NoBaseSnafu,
        SettingsSnafu,
        TwoBasesSnafu,
        WriteFileSnafu, //
    },
    CommandError, //
};

/// Start of the comment that tells which version a file is an edit of.
const BASE_MARK: &str = "# base version: ";

/// The tables as TOML.
#[derive(Debug)]
pub(super) struct TableTexts {
    /// Text of routes.toml.
    pub(super) routes: String,
    /// Text of pools.toml.
    pub(super) pools: String,
}

impl TableTexts {
    /// Formats the tables of a version.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Encode`] if a value has no form in TOML.
    pub(super) fn of(version: &ConfigVersion) -> Result<TableTexts, CommandError> {
        let mark = format_compact!("{BASE_MARK}{}\n", version.number);
        let routes = toml::to_string(&version.routes).context(EncodeSnafu)?;
        let pools = toml::to_string(&version.pools).context(EncodeSnafu)?;
        Ok(TableTexts {
            routes: format!("{mark}{routes}"),
            pools: format!("{mark}{pools}"),
        })
    }
}

/// Tables that were read from files.
#[derive(Debug)]
pub(super) struct EditedTables {
    /// The table of routes.
    pub(super) routes: RouteTable,
    /// The table of pools.
    pub(super) pools: PoolTable,
    /// Version that the files are an edit of, as each of them tells.
    bases: (Option<u32>, Option<u32>),
    folder: PathBuf,
}

impl EditedTables {
    /// Reads and checks the tables in `folder`.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::Settings`] if a file can't be read, and [`CommandError::Faulty`] if
    /// the tables have faults.
    pub(super) fn read(folder: &Path) -> Result<EditedTables, CommandError> {
        let (routes_path, pools_path) = paths_in(folder);
        let routes_text = read_bounded(&routes_path, MAX_TABLE_BYTES).context(SettingsSnafu)?;
        let pools_text = read_bounded(&pools_path, MAX_TABLE_BYTES).context(SettingsSnafu)?;
        let (routes, pools) = match read_tables(&routes_text, &pools_text) {
            Ok(tables) => tables,
            Err(faults) => {
                let routes = faults.routes.iter().map(|fault| (&routes_path, fault));
                let pools = faults.pools.iter().map(|fault| (&pools_path, fault));
                let all = routes.chain(pools);
                let lines: Vec<CompactString> = all
                    .map(|(path, fault)| format_compact!("{}{fault}", path.display()))
                    .collect();
                return FaultySnafu { lines }.fail();
            }
        };
        Ok(EditedTables {
            routes,
            pools,
            bases: (base_of(&routes_text), base_of(&pools_text)),
            folder: folder.into(),
        })
    }

    /// Returns the version that the files are an edit of.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::NoBase`] or [`CommandError::TwoBases`].
    pub(super) fn base(&self) -> Result<u32, CommandError> {
        let folder = &self.folder;
        match self.bases {
            (Some(routes), Some(pools)) if routes != pools => TwoBasesSnafu {
                folder,
                routes,
                pools,
            }
            .fail(),
            (Some(base), Some(_)) => Ok(base),
            _ => NoBaseSnafu { folder }.fail(),
        }
    }
}

/// Writes both files; existing ones are replaced only by `force`, because they may hold an edit.
///
/// # Errors
///
/// Returns [`CommandError::FileExists`] or [`CommandError::WriteFile`].
pub(super) fn write_tables(
    folder: &Path,
    texts: &TableTexts,
    force: bool,
) -> Result<(), CommandError> {
    let (routes, pools) = paths_in(folder);
    for path in [&routes, &pools] {
        ensure!(force || !path.exists(), FileExistsSnafu { path });
    }
    write_file(&routes, &texts.routes)?;
    write_file(&pools, &texts.pools)
}

fn write_file(path: &Path, text: &str) -> Result<(), CommandError> {
    let mut options = OpenOptions::new();
    let opened = options.write(true).create(true).truncate(true).open(path);
    let written = opened.and_then(|mut file| file.write_all(text.as_bytes()));
    written.context(WriteFileSnafu { path })
}

fn paths_in(folder: &Path) -> (PathBuf, PathBuf) {
    (folder.join("routes.toml"), folder.join("pools.toml"))
}

/// Returns the version that a text is an edit of.
fn base_of(text: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(text).ok()?;
    let marked = text.lines().find_map(|line| line.strip_prefix(BASE_MARK))?;
    marked.trim().parse().ok()
}
