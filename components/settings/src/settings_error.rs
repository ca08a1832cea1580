//! Reading of settings files.

use std::path::{
    Path,
    PathBuf, //
};

use serde::de::DeserializeOwned;
use snafu::{
    ResultExt,
    Snafu, //
};

/// Length of the bootstrap secret, in bytes.
const SECRET_LEN: usize = 32;

/// Reasons why settings can't be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A file isn't TOML of the right shape.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// What the parser reports, with the line.
        source: Box<toml::de::Error>,
    },
    /// The secret isn't 64 hexadecimal digits.
    #[snafu(display(
        "{}: found {found} characters; allowed: 64 hexadecimal digits", path.display()
    ))]
    BadSecret {
        /// The file.
        path: PathBuf,
        /// Length of what was found.
        found: usize,
    },
}

/// Reads settings from a TOML file.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] or [`SettingsError::Syntax`].
pub fn read_settings<S: DeserializeOwned>(path: &Path) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let parsed = toml::from_str(&text).map_err(Box::new);
    parsed.context(SyntaxSnafu { path })
}

/// Reads the bootstrap secret.
///
/// # Errors
///
/// Returns [`SettingsError::Unreadable`] or [`SettingsError::BadSecret`].
pub fn read_secret(path: &Path) -> Result<[u8; SECRET_LEN], SettingsError> {
    let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let text = text.trim();
    let found = text.len();
    parse_hex(text).ok_or_else(|| BadSecretSnafu { path, found }.build())
}

fn parse_hex(text: &str) -> Option<[u8; SECRET_LEN]> {
    if text.len() != 2 * SECRET_LEN || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut secret = [0; SECRET_LEN];
    for (index, byte) in secret.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(secret)
}
