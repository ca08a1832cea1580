//! Checks of the files that settings name.

use std::path::Path;

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

use crate::{
    bounded_file::read_bounded,
    secret_file::read_secret,
    SettingsError, //
};

/// Longest certificate chain or key that is read, in bytes.
const MAX_PEM_BYTES: usize = 1024 * 1024;

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
