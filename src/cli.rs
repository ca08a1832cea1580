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
    Subcommand, //
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
    /// What to do.
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
    /// Runs a role on the users' platform, where flows come as packets.
    #[command(subcommand)]
    Platform(PlatformCommand),
    /// Checks settings and tables offline, and prints one line for each fault.
    ///
    /// The kind of a file is told by its name (routes*, pools*, agent*, balancer*), and else by
    /// its fields. Files that belong together are checked against each other.
    Check(CheckArgs),
    /// Shows and edits the tables in the store.
    #[command(subcommand)]
    Tables(TablesCommand),
    /// Asks a process which version is in force there, and a balancer for its members.
    Status(StatusArgs),
    /// Sends load to a service and verifies each response.
    Load(LoadArgs),
    /// Runs a whole deployment on loopback addresses.
    Demo(DemoArgs),
    /// Prints the completions of a shell.
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

/// Arguments of a daemon.
#[derive(Args, Debug)]
pub(crate) struct DaemonArgs {
    /// Settings file (TOML).
    #[arg(long, value_name = "FILE")]
    pub(crate) settings: PathBuf,
    /// Log filter that replaces `log.filter` of the settings, such as `info,hop=debug`.
    #[arg(long, value_name = "FILTER")]
    pub(crate) log: Option<String>,
}

/// Arguments of `check`.
#[derive(Args, Debug)]
pub(crate) struct CheckArgs {
    /// Settings files, routes.toml and pools.toml.
    #[arg(required = true, value_name = "FILE")]
    pub(crate) files: Vec<PathBuf>,
}

/// What to do with the tables.
#[derive(Debug, Subcommand)]
pub(crate) enum TablesCommand {
    /// Shows the tables in force, or writes them to files for an edit.
    Show(ShowArgs),
    /// Checks edited tables, and compares them with those in force if a store is given.
    Check(TablesCheckArgs),
    /// Applies edited tables as a new version.
    Apply(ApplyArgs),
    /// Lists the last versions, newest first.
    History(HistoryArgs),
    /// Makes a new version with the tables from before an edit.
    Undo(UndoArgs),
}

/// Where the store is.
#[derive(Args, Debug)]
pub(crate) struct StoreArgs {
    /// Address of the store.
    #[arg(long, value_name = "IP:PORT")]
    pub(crate) store: SocketAddr,
    /// Name of the deployment, as in `store.deployment` of the settings.
    #[arg(long, value_name = "NAME")]
    pub(crate) deployment: String,
}

/// Who makes an edit, and why.
#[derive(Args, Debug)]
pub(crate) struct EditArgs {
    /// Why the edit is made.
    #[arg(long, value_name = "TEXT")]
    pub(crate) comment: String,
    /// Who makes the edit; by default the user's name of the environment.
    #[arg(long, value_name = "NAME")]
    pub(crate) author: Option<String>,
    /// Id of an edit whose outcome is unknown, to repeat it without applying it twice.
    #[arg(long, value_name = "ID")]
    pub(crate) edit_id: Option<String>,
}

/// Arguments of `tables show`.
#[derive(Args, Debug)]
pub(crate) struct ShowArgs {
    /// Where the store is.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Number of the version; by default the one in force.
    #[arg(long, value_name = "N")]
    pub(crate) number: Option<u32>,
    /// Folder into which routes.toml and pools.toml are written.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: Option<PathBuf>,
    /// Replaces files that exist.
    #[arg(long, requires = "folder")]
    pub(crate) force: bool,
}

/// Arguments of `tables check`.
#[derive(Args, Debug)]
pub(crate) struct TablesCheckArgs {
    /// Folder with routes.toml and pools.toml.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: PathBuf,
    /// Address of the store.
    #[arg(long, value_name = "IP:PORT", requires = "deployment")]
    pub(crate) store: Option<SocketAddr>,
    /// Name of the deployment.
    #[arg(long, value_name = "NAME", requires = "store")]
    pub(crate) deployment: Option<String>,
}

/// Arguments of `tables apply`.
#[derive(Args, Debug)]
pub(crate) struct ApplyArgs {
    /// Where the store is.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Folder with routes.toml and pools.toml.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) folder: PathBuf,
    /// Number of the version that the files are an edit of; by default the one that
    /// `tables show` wrote into them. 0 stands for no version at all.
    #[arg(long, value_name = "N")]
    pub(crate) base: Option<u32>,
    /// Who and why.
    #[command(flatten)]
    pub(crate) edit: EditArgs,
}

/// Arguments of `tables history`.
#[derive(Args, Debug)]
pub(crate) struct HistoryArgs {
    /// Where the store is.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Most versions that are listed.
    #[arg(long, value_name = "N", default_value_t = 20)]
    pub(crate) limit: u16,
}

/// Arguments of `tables undo`.
#[derive(Args, Debug)]
pub(crate) struct UndoArgs {
    /// Number of the version to undo. It must be the one in force, so that an edit that came
    /// after it is not undone unseen.
    pub(crate) number: u32,
    /// Number of the version whose tables are used; by default the one before.
    #[arg(long, value_name = "N")]
    pub(crate) to: Option<u32>,
    /// Where the store is.
    #[command(flatten)]
    pub(crate) store: StoreArgs,
    /// Who and why.
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
    /// The list of a large deployment takes its balancer's bytes for control traffic, so don't ask
    /// all the time.
    #[arg(long)]
    pub(crate) members: bool,
}

/// Arguments of `completions`.
#[derive(Args, Debug)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    pub(crate) shell: Shell,
}
