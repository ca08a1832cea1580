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

/// Reads at most one byte more than `max_bytes` of a regular file, so that the caller can tell a
/// file that is too long. Pipes and devices are refused, because reading them may never end.
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

/// Adds a fault unless the file holds a bootstrap secret.
pub(crate) fn check_secret(field: &str, path: &Path, text: &mut ParsedFile) {
    if let Err(error) = read_secret(path) {
        let allowed = "a readable file with 64 hexadecimal digits";
        text.add(field, found_at(path, &error), allowed);
    }
}

/// Adds a fault unless the file holds certificates.
pub(crate) fn check_certificates(field: &str, path: &Path, text: &mut ParsedFile) {
    let allowed = "a readable file with one certificate or more in PEM";
    let bytes = match read_bounded(path, MAX_PEM_BYTES) {
        Ok(bytes) => bytes,
        Err(error) => return text.add(field, found_at(path, &error), allowed),
    };
    let parsed: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let found = match parsed {
        Ok(chain) if !chain.is_empty() => return,
        Ok(_) => format_compact!("{}, which holds no certificate", path.display()),
        Err(error) => format_compact!("{}, which isn't PEM ({error})", path.display()),
    };
    text.add(field, found, allowed);
}

/// Adds a fault unless the file holds a private key.
pub(crate) fn check_key(field: &str, path: &Path, text: &mut ParsedFile) {
    let allowed = "a readable file with a private key in PEM";
    let bytes = match read_bounded(path, MAX_PEM_BYTES) {
        Ok(bytes) => bytes,
        Err(error) => return text.add(field, found_at(path, &error), allowed),
    };
    if let Err(error) = PrivateKeyDer::from_pem_slice(&bytes) {
        let found = format_compact!("{}, without a private key ({error})", path.display());
        text.add(field, found, allowed);
    }
}

/// Describes a file that can't be used.
fn found_at(path: &Path, error: &SettingsError) -> CompactString {
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
