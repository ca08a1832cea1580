//! Cases of the pool model: pools, loads and ways of placing flows.

use carobdrum_core::connection::REDIRECT_MARGIN;

use crate::load_signal::LoadSignal;

/// A pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PoolShape {
    pub(crate) name: &'static str,
    pub(crate) targets: usize,
    pub(crate) slots: u32,
    pub(crate) balancers: usize,
}

/// The pools that are compared.
pub(crate) const POOLS: [PoolShape; 5] = [
    PoolShape {
        name: "placename-api",
        targets: 7,
        slots: 2,
        balancers: 8,
    },
    PoolShape {
        name: "sheet-store",
        targets: 4,
        slots: 2,
        balancers: 8,
    },
    PoolShape {
        name: "werkplaats",
        targets: 7,
        slots: 7,
        balancers: 8,
    },
    PoolShape {
        name: "archief",
        targets: 3,
        slots: 7,
        balancers: 8,
    },
    PoolShape {
        name: "hundred",
        targets: 100,
        slots: 4,
        balancers: 50,
    },
];

/// What is special about a load or a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKind {
    Steady,
    /// Three times the flows in one second of five.
    Bursty,
    /// One flow in ten downloads: a slot is held forty times as long.
    Skewed,
    /// The first server takes four times as long.
    SlowServer,
    /// The first server answers every request with a 5xx status in a millisecond.
    FailFast,
    /// The first agent reports no load.
    FalseLoad,
}

/// The loads that are compared.
pub(crate) const LOADS: [LoadKind; 6] = [
    LoadKind::Steady,
    LoadKind::Bursty,
    LoadKind::Skewed,
    LoadKind::SlowServer,
    LoadKind::FailFast,
    LoadKind::FalseLoad,
];

/// Way of placing flows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Placement {
    /// Hash of the connection ID modulo the number of targets.
    PlainHash,
    /// Each balancer in turn over the targets.
    RoundRobin,
    /// Least loaded by the requests held, as reported once a second.
    LeastReported,
    /// First candidate of rendezvous hashing.
    Rendezvous,
    /// Rendezvous hashing with one pass by this signal above this margin.
    Redirect(LoadSignal, u8),
}

/// The ways of placing flows that are compared; the last is the design.
pub(crate) const PLACEMENTS: [(&str, Placement); 7] = [
    ("plain hash", Placement::PlainHash),
    ("round robin", Placement::RoundRobin),
    ("least by 1 s reports", Placement::LeastReported),
    ("rendezvous", Placement::Rendezvous),
    (
        "pass by load now",
        Placement::Redirect(LoadSignal::Instant, 32),
    ),
    ("pass by flows", Placement::Redirect(LoadSignal::Flows, 1)),
    (
        "pass by load",
        Placement::Redirect(LoadSignal::Gate, REDIRECT_MARGIN),
    ),
];

/// Variants of the pass, which are compared on a few cases.
pub(crate) const VARIANTS: [(&str, Placement); 8] = [
    (
        "design",
        Placement::Redirect(LoadSignal::Gate, REDIRECT_MARGIN),
    ),
    (
        "without failures",
        Placement::Redirect(LoadSignal::Smoothed(1_000.0), REDIRECT_MARGIN),
    ),
    (
        "over 0.3 s",
        Placement::Redirect(LoadSignal::Smoothed(300.0), REDIRECT_MARGIN),
    ),
    (
        "over 5 s",
        Placement::Redirect(LoadSignal::Smoothed(5_000.0), REDIRECT_MARGIN),
    ),
    (
        "flows and queue",
        Placement::Redirect(LoadSignal::FlowsAndQueue, 1),
    ),
    ("margin 0", Placement::Redirect(LoadSignal::Gate, 0)),
    ("margin 16", Placement::Redirect(LoadSignal::Gate, 16)),
    ("margin 32", Placement::Redirect(LoadSignal::Gate, 32)),
];

/// Pool and load of the cases on which the variants are compared.
pub(crate) const VARIANT_CASES: [(usize, LoadKind); 6] = [
    (0, LoadKind::Steady),
    (0, LoadKind::FailFast),
    (2, LoadKind::Skewed),
    (2, LoadKind::SlowServer),
    (2, LoadKind::FalseLoad),
    (4, LoadKind::Steady),
];

impl LoadKind {
    /// Returns the name of the load in tables.
    pub(crate) fn name(self) -> &'static str {
        match self {
            LoadKind::Steady => "steady",
            LoadKind::Bursty => "bursty",
            LoadKind::Skewed => "downloads",
            LoadKind::SlowServer => "slow server",
            LoadKind::FailFast => "fails fast",
            LoadKind::FalseLoad => "false load",
        }
    }
}
