//! Reading of the bootstrap secret.

use std::path::Path;

use crate::{
    bounded_file::read_bounded,
    settings_error::BadSecretSnafu,
    SettingsError, //
};

/// Length of the bootstrap secret, in bytes.
const SECRET_LEN: usize = 32;

/// Longest secret file, in bytes; white space may surround the digits.
const MAX_SECRET_BYTES: usize = 1024;

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
