//! What a run of the model plays.

use std::path::PathBuf;

use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu, //
};

/// Why an experiment can't be read.
#[derive(Debug, Snafu)]
pub enum ExperimentError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system reports.
        source: std::io::Error,
    },
    /// The file is no experiment.
    #[snafu(display("{}: {source}", path.display()))]
    Parse {
        /// The file.
        path: PathBuf,
        /// What the parser reports.
        source: toml::de::Error,
    },
}

/// A site, its load and its faults.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Length of the run, in milliseconds.
    pub length_ms: u64,
    /// Data centres; each has as many balancers and agents.
    pub centres: u8,
    /// Balancers in each data centre.
    pub balancers: u8,
    /// Agents in each data centre.
    pub agents: u8,
    /// Requests that a server works on at once.
    pub slots: u32,
    /// Requests that wait at a server before it refuses more.
    pub queue: usize,
    /// Mean work of a request, in milliseconds.
    pub work_ms: f64,
    /// New requests per second, over all data centres.
    pub rate: f64,
    /// Time within which callers want the answer, in milliseconds.
    pub objective_ms: u64,
    /// Time after which callers give a request up, in milliseconds.
    pub deadline_ms: u64,
    /// Share of datagrams that are lost.
    #[serde(default)]
    pub loss: f64,
    /// Faults.
    #[serde(default, rename = "fault")]
    pub faults: Vec<FaultEntry>,
}

/// A fault.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultEntry {
    /// Time of the fault, in milliseconds.
    pub at_ms: u64,
    /// What happens.
    pub kind: FaultKind,
    /// Time until it is over, in milliseconds.
    pub for_ms: u64,
    /// How many it concerns.
    #[serde(default = "one")]
    pub count: u8,
}

/// Kinds of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Balancers end at once and start again with nothing in memory.
    Balancers,
    /// Balancers leave the routers' rotation while they go on.
    Rotation,
    /// Agents end at once and start again; their servers go on.
    Agents,
    /// VMs of servers lose power; servers and agents start again.
    Servers,
    /// All processes and servers end.
    All,
    /// A data centre is taken out.
    Close,
    /// Servers answer with failures.
    Failing,
    /// The load is multiplied by `count`.
    Burst,
}

impl Experiment {
    /// Reads an experiment from a file.
    ///
    /// # Errors
    ///
    /// Returns [`ExperimentError`] if the file can't be read or is no experiment.
    pub fn read(path: impl Into<PathBuf>) -> Result<Experiment, ExperimentError> {
        let path = path.into();
        let text = std::fs::read_to_string(&path).context(ReadSnafu { path: &path })?;
        toml::from_str(&text).context(ParseSnafu { path })
    }
}

fn one() -> u8 {
    1
}
