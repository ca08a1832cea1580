//! Arguments of the command line.

use std::path::PathBuf;

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
    /// Checks settings and tables offline, and prints one line for each fault.
    ///
    /// The kind of a file is told by its name (routes*, pools*, agent*, balancer*), and else by
    /// its fields. Files that belong together are checked against each other.
    Check(CheckArgs),
    /// Sends load to a service and verifies each response.
    Load(LoadArgs),
    /// Runs a whole deployment on loopback addresses.
    Demo(DemoArgs),
    /// Prints the completions of a shell.
    Completions(CompletionsArgs),
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

/// Arguments of `completions`.
#[derive(Args, Debug)]
pub(crate) struct CompletionsArgs {
    /// The shell.
    pub(crate) shell: Shell,
}
