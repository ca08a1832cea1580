//! The span of a hop.

use tracing::{
    debug_span,
    Span, //
};

use crate::TraceContext;

/// Target of the spans of hops, for log filters such as `info,hop=debug`.
pub const HOP_TARGET: &str = "hop";

/// The hops of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopKind {
    /// Balancer: the first packet of a flow, from receipt until it is forwarded.
    Balancer,
    /// Agent: a request, from its headers until the end of the response.
    Agent,
    /// Backend server: a request, from the first byte sent to it until the end of its response.
    Server,
}

/// Returns the span of a hop.
///
/// Each hop has one span, named `hop.balancer`, `hop.agent` or `hop.server`, with the fields
/// `trace_id`, `service` (its name; its number at a balancer) and `target` (the name of the backend
/// server; the agent's address at a balancer). The spans of one request are joined by the trace id:
///
/// - The balancer sees only packets, so it derives the trace by [`TraceContext::from_flow`] from
///   the connection ID of the first packet. Established packets open no span.
/// - The agent takes the trace of the request's `traceparent` header, and without one the trace of
///   the same connection ID. It passes a [`TraceContext::child`] on to the server.
///
/// Spans are at level debug, so that with the default filter `info` a hop formats and
/// allocates nothing.
pub fn hop_span(hop: HopKind, trace: &TraceContext, service: &str, target: &str) -> Span {
    match hop {
        HopKind::Balancer => debug_span!(
            target: HOP_TARGET, "hop.balancer",
            trace_id = %trace.trace_id_hex(), service, target
        ),
        HopKind::Agent => debug_span!(
            target: HOP_TARGET, "hop.agent",
            trace_id = %trace.trace_id_hex(), service, target
        ),
        HopKind::Server => debug_span!(
            target: HOP_TARGET, "hop.server",
            trace_id = %trace.trace_id_hex(), service, target
        ),
    }
}
