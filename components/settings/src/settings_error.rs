//! Errors of settings files, and reading of the bootstrap secret.

use std::path::{
    Path,
    PathBuf, //
};

use carobdrum_core::FileFault;
use snafu::Snafu;

use crate::file_check::read_bounded;

/// Length of the bootstrap secret, in bytes.
const SECRET_LEN: usize = 32;

/// Longest secret file, in bytes; white space may surround the digits.
const MAX_SECRET_BYTES: usize = 1024;

/// Reasons why settings can't be used.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The secret isn't 64 hexadecimal digits.
    #[snafu(display(
        "{}: found {found} bytes; allowed: 64 hexadecimal digits", path.display()
    ))]
    BadSecret {
        /// Path of the file.
        path: PathBuf,
        /// Length of the file's content without the surrounding white space, in bytes.
        found: usize,
    },
    /// The path is that of a folder, a pipe or a device.
    #[snafu(display("{}: not a regular file", path.display()))]
    NotAFile {
        /// Path of the folder, pipe or device.
        path: PathBuf,
    },
    /// A settings file has faults.
    #[snafu(display("{}: {} faults", path.display(), faults.len()))]
    Faulty {
        /// Path of the file.
        path: PathBuf,
        /// All faults that were found, each with its line, field and allowed values.
        faults: Vec<FileFault>,
    },
}

/// Reads the bootstrap secret.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`], [`SettingsError::NotAFile`] or
/// [`SettingsError::BadSecret`].
pub fn read_secret(path: &Path) -> Result<[u8; SECRET_LEN], SettingsError> {
    let bytes = read_bounded(path, MAX_SECRET_BYTES)?;
    let text = bytes.trim_ascii();
    let found = text.len();
    parse_hex(text).ok_or_else(|| BadSecretSnafu { path, found }.build())
}

fn parse_hex(text: &[u8]) -> Option<[u8; SECRET_LEN]> {
    if text.len() != 2 * SECRET_LEN {
        return None;
    }
    let mut secret = [0; SECRET_LEN];
    for (byte, pair) in secret.iter_mut().zip(text.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high << 4 | low) as u8;
    }
    Some(secret)
}
