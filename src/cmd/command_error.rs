//! Failures of commands.

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

use crate::cmd::{
    demo::DemoError,
    tables::describe_changes, //
};

/// Exit code of a command that failed.
const FAILED: u8 = 1;

/// Exit code of a command that got bad input.
const BAD_INPUT: u8 = 2;

/// Reasons why a command fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CommandError {
    /// A balancer can't start.
    #[snafu(display("{source}"))]
    Balancer {
        /// The cause.
        source: BalancerError,
    },
    /// An agent can't start.
    #[snafu(display("{source}"))]
    Agent {
        /// The cause.
        source: AgentError,
    },
    /// A role on the users' platform can't run.
    #[snafu(display("{source}"))]
    Node {
        /// The cause.
        source: NodeError,
    },
    /// A process doesn't answer.
    #[snafu(display("{source}"))]
    Control {
        /// The cause.
        source: CallError,
    },
    /// A process gives a version that can't be read.
    #[snafu(display("{address}: malformed version: {source}"))]
    MalformedVersion {
        /// Address of the process.
        address: SocketAddrV4,
        /// What the parser reports.
        source: serde_json::Error,
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
    /// A file can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    WriteFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
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
    /// A file would be replaced.
    #[snafu(display("{}: exists; allowed: a new file, or --force", path.display()))]
    FileExists {
        /// The file.
        path: PathBuf,
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
    /// A call of the store failed.
    #[snafu(display("{source}"))]
    Store {
        /// The cause.
        source: StoreError,
    },
    /// Nothing was applied yet.
    #[snafu(display("the store holds no version of deployment `{deployment}`"))]
    NoVersion {
        /// The deployment.
        deployment: CompactString,
    },
    /// The store doesn't have the version.
    #[snafu(display("version {number}: not in the store"))]
    UnknownVersion {
        /// The number.
        number: u32,
    },
    /// The files don't tell which version they are an edit of.
    #[snafu(display("{}: found no base version; allowed: files of `tables show`, or --base", folder.display()))]
    NoBase {
        /// Folder of the files.
        folder: PathBuf,
    },
    /// The files are edits of different versions.
    #[snafu(display("{}: found base versions {routes} of routes and {pools} of pools; allowed: one for both", folder.display()))]
    TwoBases {
        /// Folder of the files.
        folder: PathBuf,
        /// Version that routes.toml is an edit of.
        routes: u32,
        /// Version that pools.toml is an edit of.
        pools: u32,
    },
    /// Another edit came first.
    #[snafu(display("{}", explain_conflict(report)))]
    Conflict {
        /// What is in force instead.
        report: Box<ConflictReport>,
    },
    /// A version can't be written as TOML.
    #[snafu(display("the tables can't be written as TOML: {source}"))]
    Encode {
        /// The cause.
        source: toml::ser::Error,
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
            | CommandError::FileExists { .. }
            | CommandError::NoBase { .. }
            | CommandError::TwoBases { .. }
            | CommandError::UnknownVersion { .. }
            | CommandError::NotLoopback { .. }
            | CommandError::CaUnreadable { .. }
            | CommandError::CaUnusable { .. }
            | CommandError::LoadFailed {
                source: LoadError::OutOfRange { .. },
            } => BAD_INPUT,
            CommandError::Store { source } => code_of_store(source),
            CommandError::Balancer { .. }
            | CommandError::Agent { .. }
            | CommandError::Node { .. }
            | CommandError::Control { .. }
            | CommandError::MalformedVersion { .. }
            | CommandError::LoadFailed { .. }
            | CommandError::WrongAnswers { .. }
            | CommandError::NothingAnswered
            | CommandError::Demo { .. }
            | CommandError::FlowsBroken { .. }
            | CommandError::Runtime { .. }
            | CommandError::Encoding { .. }
            | CommandError::WriteFile { .. }
            | CommandError::NoVersion { .. }
            | CommandError::Conflict { .. }
            | CommandError::Encode { .. }
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

fn code_of_store(error: &StoreError) -> u8 {
    match error {
        StoreError::InvalidTables { .. }
        | StoreError::ValueTooLarge { .. }
        | StoreError::InvalidKey { .. }
        | StoreError::NoSuchVersion { .. } => BAD_INPUT,
        _ => FAILED,
    }
}

/// Tells the author of a refused edit who came first, and what that edit changed.
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
        None => text.push_str("; the base is not in the history"),
    }
    text
}
