//! Rule for names of services, routes, servers, processes and data centres.

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 100;

/// Description of a valid name, for faults.
pub const NAME_ALLOWED: &str = "1 to 100 letters, digits, `-`, `_` or `.`, first a letter or digit";

/// Returns whether `name` is a valid name.
///
/// Names are parts of paths in the store, where `.` and `..` would lead to another path.
pub fn is_name(name: &str) -> bool {
    name.starts_with(|first: char| first.is_ascii_alphanumeric())
        && name.len() <= MAX_NAME_LEN
        && name.bytes().all(is_name_byte)
}

/// Returns whether a name may contain `byte`.
pub(crate) fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}
