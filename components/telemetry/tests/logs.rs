//! Setup of logs. One test, because a process sets up its logs once.

use carobdrum_telemetry::{
    hop_span,
    init_logs,
    HopKind,
    TelemetryError,
    TraceContext, //
};

/// Guards against a filter that is ignored, a second setup that panics, spans of hops that the
/// filter of the documentation doesn't show, and lines for the spans of libraries.
#[test]
fn filter_and_second_setup_are_checked() {
    let refused = init_logs(false, "info,hop=loud");
    assert!(matches!(refused, Err(TelemetryError::BadFilter { .. })));
    init_logs(true, "info,hop=debug").expect("the first setup with a good filter succeeds");
    let repeated = init_logs(true, "info");
    assert!(matches!(repeated, Err(TelemetryError::LogsAreSet)));
    for hop in [HopKind::Balancer, HopKind::Agent, HopKind::Server] {
        let span = hop_span(hop, &TraceContext::random(), "archief", "archief-1");
        assert!(!span.is_disabled());
    }
    let of_library = tracing::info_span!(target: "ractor::actor", "Actor");
    assert!(of_library.is_disabled());
}
