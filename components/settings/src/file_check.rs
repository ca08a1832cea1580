//! Checks of the files that settings name.

use std::{
    fs::File,
    io::Read,
    path::Path, //
};

use carobdrum_core::ParsedFile;
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use rustls_pki_types::{
    pem::PemObject,
    CertificateDer,
    PrivateKeyDer, //
};
use snafu::ResultExt;

use crate::{
    read_secret,
    settings_error::{
        NotAFileSnafu,
        UnreadableSnafu, //
    },
    SettingsError, //
};

/// Longest certificate chain or key that is read, in bytes.
const MAX_PEM_BYTES: usize = 1024 * 1024;

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

/// Adds a fault unless the file at `path` contains a bootstrap secret.
pub(crate) fn check_secret(field: &str, path: &Path, file: &mut ParsedFile) {
    if let Err(error) = read_secret(path) {
        let allowed = "a readable file with 64 hexadecimal digits";
        file.add(field, describe_file_error(path, &error), allowed);
    }
}

/// Adds a fault unless the file at `path` contains certificates.
pub(crate) fn check_certificates(field: &str, path: &Path, file: &mut ParsedFile) {
    let allowed = "a readable file with one certificate or more in PEM";
    let bytes = match read_bounded(path, MAX_PEM_BYTES) {
        Ok(bytes) => bytes,
        Err(error) => return file.add(field, describe_file_error(path, &error), allowed),
    };
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let found = match parsed {
        Ok(chain) if !chain.is_empty() => return,
        Ok(_) => format_compact!("{}, which holds no certificate", path.display()),
        Err(error) => format_compact!("{}, which isn't PEM ({error})", path.display()),
    };
    file.add(field, found, allowed);
}

/// Adds a fault unless the file at `path` contains a private key.
pub(crate) fn check_key(field: &str, path: &Path, file: &mut ParsedFile) {
    let allowed = "a readable file with a private key in PEM";
    let bytes = match read_bounded(path, MAX_PEM_BYTES) {
        Ok(bytes) => bytes,
        Err(error) => return file.add(field, describe_file_error(path, &error), allowed),
    };
    if let Err(error) = PrivateKeyDer::from_pem_slice(&bytes) {
        let found = format_compact!("{}, without a private key ({error})", path.display());
        file.add(field, found, allowed);
    }
}

/// Describes what was found at `path`, for the report of a fault.
fn describe_file_error(path: &Path, error: &SettingsError) -> CompactString {
    let path = path.display();
    match error {
        SettingsError::Unreadable { source, .. } => {
            format_compact!("{path}, unreadable ({source})")
        }
        SettingsError::BadSecret { found, .. } => format_compact!("{path} with {found} bytes"),
        SettingsError::NotAFile { .. } => format_compact!("{path}, which isn't a regular file"),
        other => other.to_compact_string(),
    }
}
