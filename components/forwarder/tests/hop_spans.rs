//! Trace spans of the hops of an opaque flow.

use std::{
    net::{
        Ipv4Addr,
        SocketAddrV4, //
    },
    sync::{
        Arc,
        Mutex, //
    },
};

use carobdrum_flows::FlowKey;
use carobdrum_forwarder::HopSpans;
use carobdrum_telemetry::HopKind;
use tracing::{
    field::{
        Field,
        Visit, //
    },
    span::Attributes,
    subscriber::with_default,
    Id,
    Subscriber, //
};
use tracing_subscriber::{
    layer::{
        Context,
        SubscriberExt, //
    },
    registry::LookupSpan,
    Layer, //
};

const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 9_000);

/// Name and trace id of each opened span, and the names of the closed ones.
#[derive(Clone, Default)]
struct SpanRecord {
    opened: Arc<Mutex<Vec<(&'static str, String)>>>,
    closed: Arc<Mutex<Vec<&'static str>>>,
}

struct TraceVisitor(String);

impl Visit for TraceVisitor {
    fn record_debug(&mut self, field: &Field, value: &dyn std::fmt::Debug) {
        if field.name() == "trace_id" {
            self.0 = format!("{value:?}");
        }
    }
}

impl<S: Subscriber + for<'a> LookupSpan<'a>> Layer<S> for SpanRecord {
    fn on_new_span(&self, attributes: &Attributes<'_>, _: &Id, _: Context<'_, S>) {
        let mut visitor = TraceVisitor(String::new());
        attributes.record(&mut visitor);
        let name = attributes.metadata().name();
        self.opened.lock().unwrap().push((name, visitor.0));
    }

    fn on_close(&self, id: Id, context: Context<'_, S>) {
        let name = context.span(&id).map(|span| span.name());
        self.closed.lock().unwrap().extend(name);
    }
}

fn key(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        service_address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

/// Guards against hops of one flow that have different traces, and against a span at the server
/// that ends before the response.
#[test]
fn gives_all_hops_of_a_flow_the_same_trace() {
    let record = SpanRecord::default();
    let subscriber = tracing_subscriber::registry().with(record.clone());
    with_default(subscriber, || {
        let balancer = HopSpans::default();
        balancer.record_hop(HopKind::Balancer, key(1), SERVER);
        let mut agent = HopSpans::default();
        agent.record_hop(HopKind::Agent, key(1), SERVER);
        agent.begin_request(key(1), SERVER);
        assert_eq!(
            *record.closed.lock().unwrap(),
            ["hop.balancer", "hop.agent"]
        );
        agent.end_request(key(1));
        assert_eq!(record.closed.lock().unwrap().last(), Some(&"hop.server"));
        balancer.record_hop(HopKind::Balancer, key(2), SERVER);
    });
    let opened = record.opened.lock().unwrap();
    let trace = &opened[0].1;
    assert!(!trace.is_empty());
    assert!(opened[..3].iter().all(|(_, other)| other == trace));
    assert_ne!(opened[3].1, *trace);
}

/// Guards against spans of unanswered requests that accumulate in an agent's memory.
#[test]
fn closes_spans_of_requests_that_are_not_answered() {
    let record = SpanRecord::default();
    let subscriber = tracing_subscriber::registry().with(record.clone());
    with_default(subscriber, || {
        let mut agent = HopSpans::default();
        for port in 0..10_000 {
            agent.begin_request(key(port), SERVER);
        }
        assert!(record.closed.lock().unwrap().len() >= 5_000);
    });
}
