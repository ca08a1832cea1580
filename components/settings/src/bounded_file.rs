//! Reading of a file up to a limit.

use std::{
    fs::File,
    io::Read,
    path::Path, //
};

use snafu::ResultExt;

use crate::{
    settings_error::{
        NotAFileSnafu,
        UnreadableSnafu, //
    },
    SettingsError, //
};

/// Reads a regular file up to one byte beyond `max_bytes`, so that the caller can detect a file
/// that is too long. Pipes and devices are rejected, because reading them may never end.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] or [`SettingsError::NotAFile`].
pub fn read_bounded(path: &Path, max_bytes: usize) -> Result<Vec<u8>, SettingsError> {
    let metadata = std::fs::metadata(path).context(UnreadableSnafu { path })?;
    snafu::ensure!(metadata.is_file(), NotAFileSnafu { path });
    let file = File::open(path).context(UnreadableSnafu { path })?;
    let mut bytes = Vec::new();
    file.take(max_bytes as u64 + 1)
        .read_to_end(&mut bytes)
        .context(UnreadableSnafu { path })?;
    Ok(bytes)
}
