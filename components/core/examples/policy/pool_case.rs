//! Cases of the pool model: pools, loads and placements.

use carobdrum_core::connection::REDIRECT_MARGIN;

use crate::load_signal::LoadSignal;

/// Size of a pool, and the number of balancers in front of it.
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

/// Load on a pool, or misbehaviour of one of its servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LoadKind {
    Steady,
    /// Three times the flows in one second of five.
    Bursty,
    /// One flow in ten downloads: its requests occupy a slot forty times as long.
    Skewed,
    /// The first server takes four times as long.
    SlowServer,
    /// The first server responds to every request with a 5xx status after one millisecond.
    FailFast,
    /// The first agent always reports a load of zero.
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

/// How the agent for a new flow is chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Placement {
    /// Hash of the connection ID modulo the number of targets.
    PlainHash,
    /// Each balancer chooses the targets in turn.
    RoundRobin,
    /// The target with the fewest outstanding requests, as reported once a second.
    LeastReported,
    /// The first candidate of rendezvous hashing.
    Rendezvous,
    /// Rendezvous hashing, with one redirect if this signal differs by more than this margin.
    Redirect(LoadSignal, u8),
}

/// Placements that are compared; the last one is what agents do.
pub(crate) const PLACEMENTS: [(&str, Placement); 7] = [
    ("plain hash", Placement::PlainHash),
    ("round robin", Placement::RoundRobin),
    ("least by 1 s reports", Placement::LeastReported),
    ("rendezvous", Placement::Rendezvous),
    (
        "redirect by load now",
        Placement::Redirect(LoadSignal::Instant, 32),
    ),
    (
        "redirect by flows",
        Placement::Redirect(LoadSignal::Flows, 1),
    ),
    (
        "redirect by load",
        Placement::Redirect(LoadSignal::Controller, REDIRECT_MARGIN),
    ),
];

/// Variants of the redirect decision, which are compared on a few cases.
pub(crate) const VARIANTS: [(&str, Placement); 8] = [
    (
        "design",
        Placement::Redirect(LoadSignal::Controller, REDIRECT_MARGIN),
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
    ("margin 0", Placement::Redirect(LoadSignal::Controller, 0)),
    ("margin 16", Placement::Redirect(LoadSignal::Controller, 16)),
    ("margin 32", Placement::Redirect(LoadSignal::Controller, 32)),
];

/// Index of the pool and load of each case on which the variants are compared.
pub(crate) const VARIANT_CASES: [(usize, LoadKind); 6] = [
    (0, LoadKind::Steady),
    (0, LoadKind::FailFast),
    (2, LoadKind::Skewed),
    (2, LoadKind::SlowServer),
    (2, LoadKind::FalseLoad),
    (4, LoadKind::Steady),
];

impl LoadKind {
    /// Returns the name that the tables show.
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
