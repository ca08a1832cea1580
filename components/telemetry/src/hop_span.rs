//! Tracing spans of the hops of a request.

use tracing::{
    debug_span,
    Span, //
};

use crate::TraceContext;

/// Target of the spans of all hops, for log filters such as `info,hop=debug`.
pub const HOP_TARGET: &str = "hop";

/// Process at which a request makes a hop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopKind {
    /// Balancer; its span covers the first packet of a flow, from receipt until it is forwarded.
    Balancer,
    /// Agent; its span covers a request, from its headers until the end of the response.
    Agent,
    /// Backend server; its span covers a request, from the first byte sent to the server until the
    /// end of the response.
    Server,
}

/// Returns the span of a hop.
///
/// Each hop has one span, named `hop.balancer`, `hop.agent` or `hop.server`, with the fields
/// `trace_id`, `service` (its name, or its number at a balancer) and `target` (the name of the
/// backend server, or the agent's address at a balancer). The spans of one request have the same
/// trace id:
///
/// - The balancer sees only packets, so it derives the trace by [`TraceContext::from_flow`] from
///   the connection ID of the first packet. Later packets open no span.
/// - The agent takes the trace of the request's `traceparent` header, and without one the trace of
///   the same connection ID. It sends a [`TraceContext::child`] to the server.
///
/// Spans have level debug, so that with the default filter `info` a hop formats and allocates
/// nothing.
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
