//! Reading and writing of routes.toml and pools.toml.

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

use crate::command_error::{
    CommandError,
    ConflictingBasesSnafu,
    EncodeTablesSnafu,
    FaultySnafu,
    FileExistsSnafu,
    MissingBaseSnafu,
    SettingsSnafu,
    WriteFileSnafu, //
};

/// Prefix of the comment line with the number of the version on which an edit is based.
const BASE_VERSION_PREFIX: &str = "# base version: ";

/// The tables of a version as TOML.
#[derive(Debug)]
pub(super) struct TableTexts {
    /// Text of routes.toml.
    pub(super) routes: String,
    /// Text of pools.toml.
    pub(super) pools: String,
}

impl TableTexts {
    /// Encodes the tables of a version, each with its number as the base version of an edit.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::EncodeTables`] if a value can't be encoded as TOML.
    pub(super) fn of(version: &ConfigVersion) -> Result<TableTexts, CommandError> {
        let base_line = format_compact!("{BASE_VERSION_PREFIX}{}\n", version.number);
        let routes = toml::to_string(&version.routes).context(EncodeTablesSnafu)?;
        let pools = toml::to_string(&version.pools).context(EncodeTablesSnafu)?;
        Ok(TableTexts {
            routes: format!("{base_line}{routes}"),
            pools: format!("{base_line}{pools}"),
        })
    }
}

/// Tables read from files, and the version on which the edit is based.
#[derive(Debug)]
pub(super) struct EditedTables {
    pub(super) routes: RouteTable,
    pub(super) pools: PoolTable,
    /// Base versions in routes.toml and pools.toml; `None` for a file without one.
    base_versions: (Option<u32>, Option<u32>),
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
            base_versions: (
                parse_base_version(&routes_text),
                parse_base_version(&pools_text),
            ),
            folder: folder.into(),
        })
    }

    /// Returns the version on which the files are based.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::MissingBase`] if a file has no base version, and
    /// [`CommandError::ConflictingBases`] if the files have different ones.
    pub(super) fn base(&self) -> Result<u32, CommandError> {
        let folder = &self.folder;
        match self.base_versions {
            (Some(routes), Some(pools)) if routes != pools => ConflictingBasesSnafu {
                folder,
                routes,
                pools,
            }
            .fail(),
            (Some(base), Some(_)) => Ok(base),
            _ => MissingBaseSnafu { folder }.fail(),
        }
    }
}

/// Writes both files; overwrites existing ones only with `force`, because they may contain an edit.
///
/// # Errors
///
/// Returns [`CommandError::FileExists`] without `force` if a file exists, and
/// [`CommandError::WriteFile`] if a file can't be written.
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

/// Returns the base version in the comment of a file, or `None` if there is no valid one.
fn parse_base_version(text: &[u8]) -> Option<u32> {
    let text = std::str::from_utf8(text).ok()?;
    let number = text
        .lines()
        .find_map(|line| line.strip_prefix(BASE_VERSION_PREFIX))?;
    number.trim().parse().ok()
}
