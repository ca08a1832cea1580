//! Trace spans of the hops of an opaque flow.

use std::net::SocketAddrV4;

use carobdrum_core::process::address_to_number;
use carobdrum_flows::FlowKey;
use carobdrum_telemetry::{
    hop_span,
    HopKind,
    TraceContext,
    HOP_TARGET, //
};
use compact_str::{
    CompactString,
    ToCompactString, //
};
use hashbrown::HashMap;
use tracing::{
    Level,
    Span, //
};

/// Maximum number of open request spans. When it is reached, all of them are closed, so that those
/// of unanswered requests don't accumulate.
const MAX_OPEN_SPANS: usize = 4_096;

/// Spans of the hops of flows: of the opening packet at the balancer and at each agent, and of the
/// request at the server from the delivery of the opening packet to the beginning of the response.
///
/// Packets have no room for a trace id, so each process derives it from the flow's addresses.
#[derive(Debug, Default)]
pub struct HopSpans {
    requests: HashMap<FlowKey, Span>,
}

impl HopSpans {
    /// Records the hop of an opening packet at a balancer or an agent; `target` is the next process
    /// or the server.
    pub fn record_hop(&self, hop: HopKind, key: FlowKey, target: SocketAddrV4) {
        if let Some(span) = open_span(hop, key, target) {
            span.in_scope(|| {});
        }
    }

    /// Opens the span of a request at the server.
    pub fn begin_request(&mut self, key: FlowKey, server: SocketAddrV4) {
        if self.requests.len() >= MAX_OPEN_SPANS {
            self.requests.clear();
        }
        if let Some(span) = open_span(HopKind::Server, key, server) {
            self.requests.insert(key, span);
        }
    }

    /// Closes the span of a request at the server.
    pub fn end_request(&mut self, key: FlowKey) {
        self.requests.remove(&key);
    }
}

fn open_span(hop: HopKind, key: FlowKey, target: SocketAddrV4) -> Option<Span> {
    if !tracing::enabled!(target: HOP_TARGET, Level::DEBUG) {
        return None;
    }
    let service: CompactString = key.service_address.to_compact_string();
    let target: CompactString = target.to_compact_string();
    Some(hop_span(hop, &flow_trace(key), &service, &target))
}

fn flow_trace(key: FlowKey) -> TraceContext {
    let mut bytes = [0; 16];
    let (caller, service) = bytes.split_at_mut(8);
    caller.copy_from_slice(&address_to_number(key.caller).to_be_bytes());
    service.copy_from_slice(&address_to_number(key.service_address).to_be_bytes());
    TraceContext::from_flow(&bytes)
}
