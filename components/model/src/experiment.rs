//! Description of a simulation run.

use std::path::PathBuf;

use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::PlacementPlan;

/// Reason for which an experiment can't be read.
#[derive(Debug, Snafu)]
pub enum ExperimentError {
    /// The file can't be read.
    #[snafu(display("can't read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// I/O error.
        source: std::io::Error,
    },
    /// The file isn't a valid experiment.
    #[snafu(display("can't parse {}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// Error of the parser.
        source: toml::de::Error,
    },
}

/// Site, load and faults of a simulation run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Time in which new requests start, in milliseconds; the run lasts `deadline_ms` longer.
    pub length_ms: u64,
    /// Number of data centres, which are all of the same size.
    pub centres: u8,
    /// Number of balancers in each data centre.
    pub balancers: u8,
    /// Number of agents in each data centre, each with one backend server.
    pub agents: u8,
    /// Number of requests that a server processes at once.
    pub slots: u32,
    /// Number of requests that wait at a server before it refuses more.
    pub queue: usize,
    /// Mean processing time of a request, in milliseconds.
    pub work_ms: f64,
    /// New requests per second, over all data centres.
    pub rate: f64,
    /// Time within which callers expect the response, in milliseconds.
    pub objective_ms: u64,
    /// Time after which callers abandon a request, in milliseconds.
    pub deadline_ms: u64,
    /// Share of datagrams that are lost, from 0 to 1; zero by default.
    #[serde(default)]
    pub loss: f64,
    /// Faults during the run; none by default.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultEntry>,
    /// Long flows, servers of different speed and uneven demand; none by default.
    #[serde(default)]
    pub placement: PlacementPlan,
}

/// A fault during the run.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEntry {
    /// Time at which the fault begins, in milliseconds after the start of the run.
    pub at_ms: u64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
    /// Number of affected balancers, agents or servers, or the factor of a burst; one by default,
    /// and ignored for `all` and `close`.
    #[serde(default = "one")]
    pub count: u8,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Balancers crash and restart without their state.
    Balancers,
    /// Balancers are taken out of the routers' rotation but continue to run.
    Rotation,
    /// Agents crash and restart without their state; their servers continue to run.
    Agents,
    /// VMs lose power; their servers and agents restart without their state.
    Servers,
    /// All balancers, agents and servers crash and restart.
    All,
    /// The first data centre is evacuated.
    #[serde(rename = "close")]
    Evacuate,
    /// Servers respond with failures.
    Failing,
    /// The request rate is multiplied by `count`.
    Burst,
}

impl Experiment {
    /// Reads an experiment from a file.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError`] if the file can't be read or isn't a valid experiment.
    pub fn read(path: impl Into<PathBuf>) -> Result<Experiment, ExperimentError> {
        let path = path.into();
        let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        toml::from_str(&text).context(ParseSnafu { path })
    }
}

fn one() -> u8 {
    1
}
