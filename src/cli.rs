//! Arguments of the command line.

use std::{
    net::{
        SocketAddr,
        SocketAddrV4, //
    },
    path::PathBuf, //
};

use clap::{
    Args,
    Parser,
    Subcommand,
    ValueEnum, //
};
use clap_complete::Shell;

use crate::cmd::{
    DemoArgs,
    LoadArgs, //
};

/// A layer-4 load balancer whose flows survive change and failure.
///
/// Exit codes: 0 done, 1 failed, 2 bad input.
#[derive(Debug, Parser)]
#[command(name = "carobdrum", version)]
pub(crate) struct Cli {
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a balancer.
    Balancer(DaemonArgs),
    /// Runs an agent beside a backend server.
    Agent(DaemonArgs),
    /// Runs a role on the users' platform, which delivers flows as packets.
    #[command(subcommand)]
    Platform(PlatformCommand),
    /// Checks settings, tables and configuration documents offline, and prints one line for each
    /// fault.
    ///
    /// The kind of a file is detected from its name (*.json, routes*, pools*, agent*, balancer*)
    /// or, for other names, from its content. Files that belong together are checked against each
    /// other.
    Check(CheckArgs),
    /// Shows and edits the tables in the store.
    #[command(subcommand)]
    Tables(TablesCommand),
    /// Shows the configuration version in force at a process, and the members a balancer knows.
    Status(StatusArgs),
    /// Sends load to a service and verifies each response.
    Load(LoadArgs),
    /// Runs a complete deployment on loopback addresses and sends load to it.
    Demo(DemoArgs),
    /// Prints the completion script for a shell.
    Completions(CompletionsArgs),
}

/// The roles on the users' platform.
#[derive(Debug, Subcommand)]
pub(crate) enum PlatformCommand {
    /// Runs a balancer.
    Balancer(DaemonArgs),
    /// Runs an agent beside a backend server.
    Agent(DaemonArgs),
}

/// Arguments of commands that run a daemon.
#[derive(Args, Debug)]
pub(crate) struct DaemonArgs {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
    /// Log filter, such as `info,hop=debug`; overrides `log.filter` of the settings.
    #[arg(long, value_name = "FILTER")]
    pub(crate) log: Option<String>,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
pub(crate) struct CheckArgs {
    /// Files to check: settings, tables of routes and pools, templates of settings, and the
    /// platform's configuration document (JSON, the value of `op/config`).
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
    /// Earlier configuration document; what the checked ones add, remove and change is printed.
    #[arg(long, value_name = "FILE")]
    pub(crate) against: Option<PathBuf>,
    /// Format of the output; with `json`, faults go to stdout too.
    #[arg(long, value_enum, value_name = "FORMAT", default_value = "text")]
    pub(crate) format: ReportFormat,
}

/// Format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum ReportFormat {
    /// One line for each result.
    Text,
    /// One JSON object.
    Json,
}

/// The commands for the tables.
#[derive(Debug, Subcommand)]
pub(crate) enum TablesCommand {
    /// Prints the tables in force, or writes them to files for editing.
    Show(ShowArgs),
    /// Checks edited tables, and compares them with those in force if a store is given.
    Check(TablesCheckArgs),
    /// Applies edited tables as a new version.
    Apply(ApplyArgs),
    /// Lists the last versions, newest first.
    History(HistoryArgs),
    /// Applies the tables from before an edit as a new version.
    Undo(UndoArgs),
}

/// Arguments that select a deployment in the store.
#[derive(Args, Debug)]
pub(crate) struct StoreArgs {
    /// Address of the store.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) store: SocketAddr,
    /// Name of the deployment, as in `store.deployment` of the settings.
    #[arg(long, value_name = "NAME")]
    pub(crate) deployment: String,
}

/// Author, comment and id of an edit.
#[derive(Args, Debug)]
pub(crate) struct EditArgs {
    /// Reason for the edit.
    #[arg(long, value_name = "TEXT")]
    pub(crate) comment: String,
    /// Author of the edit; by default the value of the environment variable USER.
    #[arg(long, value_name = "NAME")]
    pub(crate) author: Option<String>,
    /// Id of an edit whose outcome is unknown, to retry it without applying it twice.
    #[arg(long, value_name = "ID")]
    pub(crate) edit_id: Option<String>,
}

/// Arguments of `tables show`.
#[derive(Args, Debug)]
pub(crate) struct ShowArgs {
    /// The store and the deployment.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Number of the version to show; by default the one in force.
    #[arg(long, value_name = "N")]
    pub(crate) number: Option<u32>,
    /// Folder into which routes.toml and pools.toml are written.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: Option<PathBuf>,
    /// Overwrites existing files.
    #[arg(long, requires = "folder")]
    pub(crate) force: bool,
}

/// Arguments of `tables check`.
#[derive(Args, Debug)]
pub(crate) struct TablesCheckArgs {
    /// Folder with routes.toml and pools.toml.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: PathBuf,
    /// Address of the store; if given, the tables are compared with those in force.
    #[arg(long, value_name = "IP:PORT", requires = "deployment")]
    pub(crate) store: Option<SocketAddr>,
    /// Name of the deployment.
    #[arg(long, value_name = "NAME", requires = "store")]
    pub(crate) deployment: Option<String>,
}

/// Arguments of `tables apply`.
#[derive(Args, Debug)]
pub(crate) struct ApplyArgs {
    /// The store and the deployment.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Folder with routes.toml and pools.toml.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: PathBuf,
    /// Number of the version on which the edit is based; by default the one that `tables show`
    /// wrote into the files. 0 means that the deployment has no version yet.
    #[arg(long, value_name = "N")]
    pub(crate) base: Option<u32>,
    /// Author, comment and id of the edit.
    #[command(flatten)]
    pub(crate) edit: EditArgs,
}

/// Arguments of `tables history`.
#[derive(Args, Debug)]
pub(crate) struct HistoryArgs {
    /// The store and the deployment.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Maximum number of versions to list.
    #[arg(long, value_name = "N", default_value_t = 20)]
    pub(crate) limit: u16,
}

/// Arguments of `tables undo`.
#[derive(Args, Debug)]
pub(crate) struct UndoArgs {
    /// Number of the version to undo. It must be the one in force, so that a later edit is not
    /// undone by accident.
    pub(crate) number: u32,
    /// Number of the version whose tables are restored; by default the one before.
    #[arg(long, value_name = "N")]
    pub(crate) to: Option<u32>,
    /// The store and the deployment.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Author, comment and id of the edit.
    #[command(flatten)]
    pub(crate) edit: EditArgs,
}

/// Arguments of `status`.
#[derive(Args, Debug)]
pub(crate) struct StatusArgs {
    /// Address of the process, as in `process.address` of its settings.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) address: SocketAddrV4,
    /// File with the bootstrap secret.
    #[arg(long, value_name = "FILE")]
    pub(crate) secret_file: PathBuf,
    /// Lists the members that the process knows.
    ///
    /// The list of a large deployment uses up the balancer's byte limit for control traffic, so it
    /// should not be requested continuously.
    #[arg(long)]
    pub(crate) members: bool,
}

/// Arguments of `completions`.
#[derive(Args, Debug)]
pub(crate) struct CompletionsArgs {
    /// Shell for which the script is printed.
    pub(crate) shell: Shell,
}
