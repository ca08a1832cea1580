//! Reporting of invalid arguments.

use compact_str::CompactString;

use crate::{
    cmd::print,
    command_error::{
        CommandError,
        UsageSnafu, //
    }, //
};

/// Prints the help or the version if the arguments request it; otherwise returns the error.
///
/// # Errors
///
/// Returns [`CommandError::Usage`] with the message of `clap` in one line and without the usage
/// summary, because scripts expect one line for each error.
pub(crate) fn explain_usage(error: &clap::Error) -> Result<(), CommandError> {
    let text = error.to_string();
    if !error.use_stderr() {
        return print(text.as_bytes());
    }
    let lines = text
        .lines()
        .take_while(|line| !line.starts_with("Usage:") && !line.starts_with("For more"));
    let mut message = CompactString::default();
    for word in lines.flat_map(str::split_whitespace) {
        if !message.is_empty() {
            message.push(' ');
        }
        message.push_str(word);
    }
    let stripped = message.strip_prefix("error: ").map(CompactString::from);
    let message = stripped.unwrap_or(message);
    UsageSnafu { message }.fail()
}
