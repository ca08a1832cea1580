//! Failures of commands.

use std::{
    net::SocketAddr,
    path::PathBuf, //
};

use carobdrum_agent::AgentError;
use carobdrum_balancer::BalancerError;
use carobdrum_caller::{
    ClientError,
    LoadError, //
};
use carobdrum_core::OneLine;
use carobdrum_settings::SettingsError;
use carobdrum_telemetry::TelemetryError;
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use snafu::Snafu;

use crate::cmd::demo::DemoError;

/// Exit code of a command that failed.
const FAILED: u8 = 1;

/// Exit code of a command that got bad input.
const BAD_INPUT: u8 = 2;

/// Reasons why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// The agent can't start.
    #[snafu(display("agent: {source}"))]
    Agent {
        /// The cause.
        source: AgentError,
    },
    /// The balancer can't start.
    #[snafu(display("balancer: {source}"))]
    Balancer {
        /// The cause.
        source: BalancerError,
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
    /// The load would go to another machine.
    #[snafu(display("address: found {address}; allowed: a loopback address"))]
    NotLoopback {
        /// The address.
        address: SocketAddr,
    },
    /// The certificates to trust can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    CaUnreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The certificates to trust can't be used.
    #[snafu(display("{}: {source}", path.display()))]
    CaUnusable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ClientError,
    },
    /// The load can't be sent.
    #[snafu(display("{source}"))]
    LoadFailed {
        /// The cause.
        source: LoadError,
    },
    /// Answers were wrong.
    #[snafu(display("{count} answers were wrong"))]
    WrongAnswers {
        /// How many.
        count: u64,
    },
    /// No request had a correct answer.
    #[snafu(display("no request had a correct answer"))]
    NothingAnswered,
    /// The demonstration failed.
    #[snafu(display("{source}"))]
    Demo {
        /// The cause.
        source: DemoError,
    },
    /// Flows broke outside the data centre that was taken out.
    #[snafu(display("{count} flows broke outside the data centre that was taken out"))]
    FlowsBroken {
        /// How many.
        count: usize,
    },
    /// The threads of the command can't be started.
    #[snafu(display("runtime: {source}"))]
    Runtime {
        /// The cause.
        source: std::io::Error,
    },
    /// The result can't be encoded.
    #[snafu(display("result: {source}"))]
    Encoding {
        /// The cause.
        source: serde_json::Error,
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
            | CommandError::Logs { .. }
            | CommandError::NotLoopback { .. }
            | CommandError::CaUnreadable { .. }
            | CommandError::CaUnusable { .. }
            | CommandError::LoadFailed {
                source: LoadError::OutOfRange { .. },
            } => BAD_INPUT,
            CommandError::Agent { .. }
            | CommandError::Balancer { .. }
            | CommandError::LoadFailed { .. }
            | CommandError::WrongAnswers { .. }
            | CommandError::NothingAnswered
            | CommandError::Demo { .. }
            | CommandError::FlowsBroken { .. }
            | CommandError::Runtime { .. }
            | CommandError::Encoding { .. }
            | CommandError::Output { .. } => FAILED,
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
