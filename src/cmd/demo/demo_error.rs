//! Failures of the demonstration.

use std::time::Duration;

use carobdrum_agent::AgentError;
use carobdrum_balancer::BalancerError;
use carobdrum_caller::{
    ClientError,
    LoadError, //
};
use carobdrum_standins::StandinError;
use carobdrum_store::StoreError;
use snafu::Snafu;

/// Reasons why the demonstration fails.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub(crate) enum DemoError {
    /// A file of the deployment can't be written.
    #[snafu(display("files of the deployment: {source}"), context(false))]
    Files {
        /// The cause.
        source: std::io::Error,
    },
    /// The certificate can't be made.
    #[snafu(display("certificate: {source}"), context(false))]
    Certificate {
        /// The cause.
        source: rcgen::Error,
    },
    /// A stand-in can't be started.
    #[snafu(display("stand-in: {source}"), context(false))]
    Standin {
        /// The cause.
        source: StandinError,
    },
    /// A balancer can't be started.
    #[snafu(display("balancer: {source}"), context(false))]
    Balancer {
        /// The cause.
        source: BalancerError,
    },
    /// An agent can't be started.
    #[snafu(display("agent: {source}"), context(false))]
    Agent {
        /// The cause.
        source: AgentError,
    },
    /// An edit of the tables failed.
    #[snafu(display("edit of the tables: {source}"), context(false))]
    Store {
        /// The cause.
        source: StoreError,
    },
    /// An edit of the tables was refused, although nobody else edits them.
    #[snafu(display("edit of the tables: version {in_force} is in force"))]
    EditRefused {
        /// Number of the version in force.
        in_force: u32,
    },
    /// The callers' client can't be built.
    #[snafu(display("caller: {source}"), context(false))]
    Client {
        /// The cause.
        source: ClientError,
    },
    /// The load can't be sent.
    #[snafu(display("load: {source}"), context(false))]
    Load {
        /// The cause.
        source: LoadError,
    },
    /// The processes didn't reach a state in time.
    #[snafu(display("{what}: not reached in {limit:?}"))]
    NotReached {
        /// The state.
        what: &'static str,
        /// The limit.
        limit: Duration,
    },
}
