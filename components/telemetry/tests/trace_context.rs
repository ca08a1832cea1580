//! Trace contexts: parsing, formatting and derivation from flows.

use carobdrum_telemetry::TraceContext;
use rstest::rstest;

const GOOD: &str = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

/// Arranges one named case per malformed header.
macro_rules! refused_headers {
    ($($name:ident: $value:expr;)*) => {
        /// Guards against a malformed header that is taken over and passed on to servers.
        #[rstest]
        $(#[case::$name($value)])*
        fn malformed_header_is_refused(#[case] value: &str) {
            assert_eq!(TraceContext::parse(value), None);
        }
    };
}

refused_headers! {
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

/// Guards against a header that changes on its way through the agent.
#[test]
fn header_survives_parse_and_format() {
    let context = TraceContext::parse(GOOD).expect("the header is well-formed");
    assert_eq!(context.format(), GOOD);
}

/// Guards against refusing callers that use a later version of the format.
#[test]
fn later_version_is_read_as_version_0() {
    let later = GOOD.replacen("00", "cc", 1) + "-more";
    assert_eq!(TraceContext::parse(&later), TraceContext::parse(GOOD));
}

/// Guards against a balancer and an agent that log different traces for one flow.
#[test]
fn flow_gives_one_trace_everywhere() {
    let trace = TraceContext::from_flow(b"a connection id");
    assert_eq!(trace, TraceContext::from_flow(b"a connection id"));
    assert_ne!(trace.trace_id, TraceContext::from_flow(b"another").trace_id);
}

/// Guards against a server's span that becomes its own parent or leaves the trace.
#[test]
fn child_keeps_the_trace_and_changes_the_parent() {
    let parent = TraceContext::random();
    let child = parent.child();
    assert_eq!(child.trace_id, parent.trace_id);
    assert_ne!(child.parent_id, parent.parent_id);
}
