//! Setup of logs. There is only one test, because a process can set up its logs only once.

use carobdrum_telemetry::{
    hop_span,
    init_logs,
    HopKind,
    TelemetryError,
    TraceContext, //
};

/// Guards against an invalid filter that is accepted, a second setup that panics, spans of hops
/// that the documented filter `info,hop=debug` doesn't enable, and log lines for the spans of
/// libraries.
#[test]
fn filter_and_second_setup_are_checked() {
    let refused = init_logs(false, "info,hop=loud");
    assert!(matches!(refused, Err(TelemetryError::InvalidFilter { .. })));
    init_logs(true, "info,hop=debug").expect("the first setup with a valid filter succeeds");
    let repeated = init_logs(true, "info");
    assert!(matches!(repeated, Err(TelemetryError::LogsAlreadySet)));
    for hop in [HopKind::Balancer, HopKind::Agent, HopKind::Server] {
        let span = hop_span(hop, &TraceContext::random(), "archief", "archief-1");
        assert!(!span.is_disabled());
    }
    let library_span = tracing::info_span!(target: "ractor::actor", "Actor");
    assert!(library_span.is_disabled());
}
