//! Errors of settings files.

use std::path::PathBuf;

use carobdrum_core::FileFault;
use snafu::Snafu;

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
