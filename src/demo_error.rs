//! Errors of the demo.

use std::time::Duration;

use carobdrum_agent::AgentError;
use carobdrum_balancer::BalancerError;
use carobdrum_caller::{
    ClientError,
    LoadError, //
};
use carobdrum_control::WrapError;
use carobdrum_standins::StandinError;
use carobdrum_store::StoreError;
use snafu::Snafu;

/// Reasons why the demo fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum DemoError {
    /// A file of the deployment can't be written.
    #[snafu(
        display("can't write the files of the deployment: {source}"),
        context(false)
    )]
    Files { source: std::io::Error },
    /// The certificate can't be generated.
    #[snafu(display("can't generate a certificate: {source}"), context(false))]
    Certificate { source: rcgen::Error },
    /// A stand-in can't be started.
    #[snafu(display("stand-in: {source}"), context(false))]
    Standin { source: StandinError },
    /// A balancer can't be started.
    #[snafu(display("balancer: {source}"), context(false))]
    Balancer { source: BalancerError },
    /// An agent can't be started.
    #[snafu(display("agent: {source}"), context(false))]
    Agent { source: AgentError },
    /// An edit of the tables failed.
    #[snafu(display("can't edit the tables: {source}"), context(false))]
    Store { source: StoreError },
    /// The fleet's key ring can't be read.
    #[snafu(display("key ring: {source}"), context(false))]
    KeyRing { source: WrapError },
    /// An edit of the tables was refused, although only the demo edits them.
    #[snafu(display("edit of the tables refused: version {in_force} is in force"))]
    EditRefused {
        /// Number of the version in force.
        in_force: u32,
    },
    /// The client that sends the load can't be built.
    #[snafu(display("caller: {source}"), context(false))]
    Client { source: ClientError },
    /// The load failed.
    #[snafu(display("load: {source}"), context(false))]
    Load { source: LoadError },
    /// The processes didn't reach an expected state before the timeout.
    #[snafu(display("state not reached within {limit:?}: {what}"))]
    StateTimeout {
        /// The expected state.
        what: &'static str,
        /// The timeout.
        limit: Duration,
    },
}
