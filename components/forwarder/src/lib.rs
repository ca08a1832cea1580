//! Daemons that forward opaque flows, whose packets the system forwards but can't change: a
//! balancer on each entry VM, an agent beside each backend server.
//!
//! All decisions are made in `carobdrum-flows`. This crate adds the sockets, threads and timers.

mod connection;
mod process;

pub use connection::{
    decode_report,
    encode_report,
    HopSpans,
    PeerRevision, //
};
pub use process::{
    run_agent,
    run_balancer,
    AbsenceMarker,
    ConfigTracker,
    KeyEvent,
    KeyWatcher,
    ListingDemand,
    MarkOutcome,
    NodeError,
    SettingsFile, //
    WatchProgress,
};
