//! Failures of commands.

use carobdrum_core::OneLine;
use carobdrum_settings::SettingsError;
use carobdrum_telemetry::TelemetryError;
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use snafu::Snafu;

/// Exit code of a command that failed.
const FAILED: u8 = 1;

/// Exit code of a command that got bad input.
const BAD_INPUT: u8 = 2;

/// Reasons why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The command isn't part of this build yet.
    #[snafu(display("`{command}` is not available yet"))]
    NotAvailable {
        /// The command.
        command: &'static str,
    },
    /// The arguments are wrong.
    #[snafu(display("{message}"))]
    Usage {
        /// What is wrong with them.
        message: CompactString,
    },
    /// Files have faults.
    #[snafu(display("{} faults", lines.len()))]
    Faulty {
        /// One line for each fault.
        lines: Vec<CompactString>,
    },
    /// Settings can't be used.
    #[snafu(display("{source}"))]
    Settings {
        /// The cause.
        source: SettingsError,
    },
    /// Logs can't be set up.
    #[snafu(display("{source}"))]
    Logs {
        /// The cause.
        source: TelemetryError,
    },
    /// The result can't be written.
    #[snafu(display("stdout: {source}"))]
    Output {
        /// The cause.
        source: std::io::Error,
    },
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage { .. }
            | CommandError::Faulty { .. }
            | CommandError::Settings { .. }
            | CommandError::Logs { .. } => BAD_INPUT,
            CommandError::NotAvailable { .. } | CommandError::Output { .. } => FAILED,
        }
    }

    /// Returns what to tell the user, one line for each fault.
    pub(crate) fn lines(&self) -> Vec<CompactString> {
        match self {
            CommandError::Faulty { lines } => lines.clone(),
            CommandError::Settings {
                source: SettingsError::Faulty { path, faults },
            } => faults
                .iter()
                .map(|fault| format_compact!("{}{fault}", OneLine(&path.to_string_lossy())))
                .collect(),
            other => {
                let message = other.to_compact_string();
                vec![format_compact!("error: {}", OneLine(&message))]
            }
        }
    }
}
