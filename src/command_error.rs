//! Errors of commands and their exit codes.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf, //
};

use carobdrum_agent::AgentError;
use carobdrum_balancer::BalancerError;
use carobdrum_caller::{
    ClientError,
    LoadError, //
};
use carobdrum_control::CallError;
use carobdrum_core::{
    version::TableError,
    OneLine, //
};
use carobdrum_forwarder::NodeError;
use carobdrum_settings::SettingsError;
use carobdrum_store::{
    ConflictReport,
    StoreError, //
};
use carobdrum_telemetry::TelemetryError;
use compact_str::{
    format_compact,
    CompactString,
    ToCompactString, //
};
use snafu::Snafu;

use crate::{
    change_summary::describe_changes,
    demo_error::DemoError, //
};

/// Exit code of a command that failed.
const EXIT_FAILED: u8 = 1;

/// Exit code of a command whose input (arguments, settings or tables) is invalid.
const EXIT_BAD_INPUT: u8 = 2;

/// Reasons why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// A balancer can't be started.
    #[snafu(display("{source}"))]
    Balancer { source: BalancerError },
    /// An agent can't be started.
    #[snafu(display("{source}"))]
    Agent { source: AgentError },
    /// A role on the users' platform can't be started, or failed.
    #[snafu(display("{source}"))]
    Node { source: NodeError },
    /// A control request to a process failed.
    #[snafu(display("{source}"))]
    Control { source: CallError },
    /// A process sent a configuration version that can't be parsed.
    #[snafu(display("{address} sent a malformed configuration version: {source}"))]
    MalformedVersion {
        /// Address of the process.
        address: SocketAddrV4,
        /// What the parser reports.
        source: serde_json::Error,
    },
    /// The arguments are invalid.
    #[snafu(display("{message}"))]
    Usage {
        /// The message of `clap`, in one line.
        message: CompactString,
    },
    /// The checked files have faults.
    #[snafu(display("{} faults", lines.len()))]
    Faulty {
        /// One line for each fault.
        lines: Vec<CompactString>,
    },
    /// The settings can't be read or have faults.
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    /// Logging can't be set up.
    #[snafu(display("{source}"))]
    Logs { source: TelemetryError },
    /// A file can't be written.
    #[snafu(display("{}: can't be written: {source}", path.display()))]
    WriteFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The service's address isn't a loopback address, so the load would go to another machine.
    #[snafu(display("address: found {address}; allowed: a loopback address"))]
    NotLoopback {
        /// Address of the service.
        address: SocketAddr,
    },
    /// The certificates to trust can't be read.
    #[snafu(display("{}: can't be read: {source}", path.display()))]
    UnreadableCa {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file would be overwritten without `--force`.
    #[snafu(display("{}: exists; allowed: a new file, or --force", path.display()))]
    FileExists { path: PathBuf },
    /// The certificates to trust are invalid.
    #[snafu(display("{}: {source}", path.display()))]
    InvalidCa { path: PathBuf, source: ClientError },
    /// The settings of the load are out of range, or the load failed.
    #[snafu(display("{source}"))]
    LoadFailed { source: LoadError },
    /// Responses differed from the expected ones.
    #[snafu(display("{count} responses were wrong"))]
    WrongResponses {
        /// Number of wrong responses.
        count: u64,
    },
    /// No request had a correct response.
    #[snafu(display("no request had a correct response"))]
    NoCorrectResponse,
    /// The demo failed.
    #[snafu(display("{source}"))]
    Demo { source: DemoError },
    /// Flows broke although they didn't run in the evacuated data centre.
    #[snafu(display("{count} flows broke outside the evacuated data centre"))]
    FlowsBroken {
        /// Number of broken flows.
        count: usize,
    },
    /// The asynchronous runtime of the command can't be started.
    #[snafu(display("can't start the asynchronous runtime: {source}"))]
    Runtime { source: std::io::Error },
    /// A request to the store failed.
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    /// No tables were applied to the deployment yet.
    #[snafu(display("the store holds no version of deployment `{deployment}`"))]
    NoVersion { deployment: CompactString },
    /// The store has no version with the requested number.
    #[snafu(display("version {number}: not in the store"))]
    UnknownVersion { number: u32 },
    /// A file doesn't contain the version on which its edit is based.
    #[snafu(display("{}: found no base version; allowed: files of `tables show`, or --base", folder.display()))]
    MissingBase {
        /// Folder of the files.
        folder: PathBuf,
    },
    /// The files are based on different versions.
    #[snafu(display("{}: found base versions {routes} of routes and {pools} of pools; allowed: one for both", folder.display()))]
    ConflictingBases {
        /// Folder of the files.
        folder: PathBuf,
        /// Base version of routes.toml.
        routes: u32,
        /// Base version of pools.toml.
        pools: u32,
    },
    /// The edit was refused because another version is in force than the one on which it is based.
    #[snafu(display("{}", explain_conflict(report)))]
    Conflict {
        /// The version in force and what it changed.
        report: Box<ConflictReport>,
    },
    /// The tables of a version can't be encoded as TOML.
    #[snafu(display("can't encode the tables as TOML: {source}"))]
    EncodeTables { source: toml::ser::Error },
    /// The result can't be encoded as JSON.
    #[snafu(display("can't encode the result as JSON: {source}"))]
    EncodeResult { source: serde_json::Error },
    /// The result can't be written to stdout.
    #[snafu(display("can't write to stdout: {source}"))]
    WriteOutput { source: std::io::Error },
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            CommandError::Usage { .. }
            | CommandError::Faulty { .. }
            | CommandError::Settings { .. }
            | CommandError::Logs { .. }
            | CommandError::FileExists { .. }
            | CommandError::MissingBase { .. }
            | CommandError::ConflictingBases { .. }
            | CommandError::UnknownVersion { .. }
            | CommandError::NotLoopback { .. }
            | CommandError::UnreadableCa { .. }
            | CommandError::InvalidCa { .. }
            | CommandError::LoadFailed {
                source: LoadError::OutOfRange { .. },
            } => EXIT_BAD_INPUT,
            CommandError::Store { source } => store_exit_code(source),
            CommandError::Balancer { .. }
            | CommandError::Agent { .. }
            | CommandError::Node { .. }
            | CommandError::Control { .. }
            | CommandError::MalformedVersion { .. }
            | CommandError::LoadFailed { .. }
            | CommandError::WrongResponses { .. }
            | CommandError::NoCorrectResponse
            | CommandError::Demo { .. }
            | CommandError::FlowsBroken { .. }
            | CommandError::Runtime { .. }
            | CommandError::EncodeResult { .. }
            | CommandError::WriteFile { .. }
            | CommandError::NoVersion { .. }
            | CommandError::Conflict { .. }
            | CommandError::EncodeTables { .. }
            | CommandError::WriteOutput { .. } => EXIT_FAILED,
        }
    }

    /// Returns the lines to print on stderr: one for each fault, or one for the error.
    pub(crate) fn lines(&self) -> Vec<CompactString> {
        match self {
            CommandError::Faulty { lines } => lines.clone(),
            CommandError::Settings {
                source: SettingsError::Faulty { path, faults },
            } => faults
                .iter()
                .map(|fault| format_compact!("{}{fault}", OneLine(&path.to_string_lossy())))
                .collect(),
            CommandError::Store {
                source:
                    StoreError::InvalidTables {
                        source: TableError::Faulty { faults },
                    },
            } => faults
                .iter()
                .map(ToCompactString::to_compact_string)
                .collect(),
            other => {
                let message = other.to_compact_string();
                vec![format_compact!("error: {}", OneLine(&message))]
            }
        }
    }
}

fn store_exit_code(error: &StoreError) -> u8 {
    match error {
        StoreError::InvalidTables { .. }
        | StoreError::ValueTooLarge { .. }
        | StoreError::InvalidKey { .. }
        | StoreError::NoSuchVersion { .. } => EXIT_BAD_INPUT,
        _ => EXIT_FAILED,
    }
}

/// Returns the message for a refused edit: the version in force, its author and comment, and what
/// changed since the edit's base version.
fn explain_conflict(report: &ConflictReport) -> CompactString {
    let ConflictReport {
        base,
        in_force,
        author,
        comment,
        ..
    } = report;
    let mut text = format_compact!(
        "not applied: the edit is based on version {base}, but version {in_force} by `{author}` \
         (`{comment}`) is in force"
    );
    match &report.changes {
        Some(changes) => text.push_str(&format_compact!(
            "; since then: {}",
            describe_changes(changes)
        )),
        None => text.push_str("; the base version is not in the history"),
    }
    text
}
