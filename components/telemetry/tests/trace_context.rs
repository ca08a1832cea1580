//! Trace contexts: parsing, formatting and derivation from flows.

use carobdrum_telemetry::TraceContext;
use rstest::rstest;

const VALID_HEADER: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Generates one named case per malformed header.
macro_rules! malformed_headers {
    ($($name:ident: $value:expr;)*) => {
        /// Guards against a malformed header that is accepted and sent on to servers.
        #[rstest]
        $(#[case::$name($value)])*
        fn malformed_header_is_rejected(#[case] value: &str) {
            assert_eq!(TraceContext::parse(value), None);
        }
    };
}

malformed_headers! {
    empty: "";
    too_short: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0";
    too_long_for_version_0: "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01-x";
    version_ff: "ff-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    upper_case: "00-4BF92F3577B34DA6A3CE929D0E0E4736-00f067aa0ba902b7-01";
    zero_trace: "00-00000000000000000000000000000000-00f067aa0ba902b7-01";
    zero_parent: "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01";
    wrong_separator: "00_4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";
    not_ascii: "00-4bf92f3577b34da6a3ce929d0e0e473é-00f067aa0ba902b7-01";
}

/// Guards against a header that the agent changes.
#[test]
fn header_survives_parse_and_format() {
    let context = TraceContext::parse(VALID_HEADER).expect("the header is well-formed");
    assert_eq!(context.format(), VALID_HEADER);
}

/// Guards against a lost trace of callers that use a later version of the format.
#[test]
fn later_version_is_parsed_as_version_0() {
    let later = VALID_HEADER.replacen("00", "cc", 1) + "-more";
    assert_eq!(
        TraceContext::parse(&later),
        TraceContext::parse(VALID_HEADER)
    );
}

/// Guards against a balancer and an agent that log different traces for one flow.
#[test]
fn same_flow_gives_the_same_trace() {
    let trace = TraceContext::from_flow(b"a connection id");
    assert_eq!(trace, TraceContext::from_flow(b"a connection id"));
    assert_ne!(trace.trace_id, TraceContext::from_flow(b"another").trace_id);
}

/// Guards against a server's span that is its own parent or belongs to another trace.
#[test]
fn child_keeps_the_trace_and_changes_the_parent() {
    let parent = TraceContext::random();
    let child = parent.child();
    assert_eq!(child.trace_id, parent.trace_id);
    assert_ne!(child.parent_id, parent.parent_id);
}
