//! Rate-limited log lines about flows.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use carobdrum_flows::{
    connection::{
        FlowStage,
        RedirectCause,
        RequestRelease,
        ResetCause, //
    },
    process::{
        AgentReport,
        DropCause,
        SearchEnd,
        SpilledFlow,
        WeightChange, //
    },
    request::ForwardHeader,
    FlowKey, //
};
use carobdrum_platform::PacketError;
use carobdrum_telemetry::LogLimiter;
use tracing::{
    debug,
    enabled,
    info,
    Level, //
};

use super::peer_revision::revision_and_era;

const MAX_LINES_PER_S: u32 = 200;

/// Writes a log line for each decision about a flow, up to the limit per second. `left_out` of a
/// line is the number of lines suppressed before it.
#[derive(Debug)]
pub(crate) struct FlowLog {
    limiter: LogLimiter,
}

impl FlowLog {
    pub(crate) fn new() -> FlowLog {
        FlowLog {
            limiter: LogLimiter::new(MAX_LINES_PER_S),
        }
    }

    pub(crate) fn forwarded(&mut self, key: FlowKey, to: SocketAddrV4, header: &ForwardHeader) {
        if let Some(left_out) = self.limiter.admit() {
            let (rest, near) = (header.rest.len(), header.near);
            let (revision, era) = revision_and_era(header.revision);
            info!(flow = %key, %to, rest, near, revision, era, left_out, "flow forwarded");
        }
    }

    pub(crate) fn refused(&mut self, key: FlowKey, cause: DropCause, revision: u64) {
        if let Some(left_out) = self.limiter.admit() {
            let cause = cause.name();
            let (revision, era) = revision_and_era(revision);
            info!(flow = %key, cause, revision, era, left_out, "flow refused");
        }
    }

    pub(crate) fn dropped(&mut self, key: FlowKey, cause: DropCause, revision: u64) {
        if let Some(left_out) = self.limiter.admit() {
            let cause = cause.name();
            let (revision, era) = revision_and_era(revision);
            info!(flow = %key, cause, revision, era, left_out, "packet dropped");
        }
    }

    /// Logs a flow that goes to another data centre because no server of its own has a free slot.
    pub(crate) fn spilled(&mut self, flow: &SpilledFlow) {
        if let Some(left_out) = self.limiter.admit() {
            let (near, full_twice) = (flow.near, flow.full_twice);
            info!(flow = %flow.key, near, full_twice, left_out, "flow placed in another data centre: own servers are full");
        }
    }

    pub(crate) fn weighed(&mut self, change: &WeightChange) {
        if let Some(left_out) = self.limiter.admit() {
            let (work_us, open_flows) = (change.report.work_us, change.report.open_flows);
            let (agent, eighths) = (change.agent, change.eighths);
            info!(%agent, work_us, open_flows, eighths, left_out, "weight of a server changed");
        }
    }

    /// Logs a report with impossible values, which count as the nearest possible ones.
    pub(crate) fn clamped(&mut self, agent: SocketAddrV4, report: &AgentReport) {
        if let Some(left_out) = self.limiter.admit() {
            let (slots, work_us, open_flows) = (report.slots, report.work_us, report.open_flows);
            info!(%agent, slots, work_us, open_flows, left_out, "invalid agent report clamped");
        }
    }

    pub(crate) fn malformed(&mut self, error: PacketError, from: SocketAddrV4) {
        if let Some(left_out) = self.limiter.admit() {
            info!(%error, %from, left_out, "malformed datagram dropped");
        }
    }

    pub(crate) fn delivered(&mut self, key: FlowKey, hops: u8, report: AgentReport) {
        if let Some(left_out) = self.limiter.admit() {
            let (busy, slots) = (report.busy, report.slots);
            let (revision, era) = revision_and_era(report.revision);
            info!(flow = %key, hops, busy, slots, revision, era, left_out, "opening packet delivered");
        }
    }

    pub(crate) fn arrived(&mut self, key: FlowKey, attempt: &str) {
        if let Some(left_out) = self.limiter.admit() {
            info!(flow = %key, attempt, left_out, "request arrived");
        }
    }

    pub(crate) fn response_started(&mut self, key: FlowKey, time: Millis) {
        if let Some(left_out) = self.limiter.admit() {
            info!(flow = %key, ms = time.0, left_out, "response begins");
        }
    }

    /// Logs a request that was held and has been sent to the server.
    pub(crate) fn released(&mut self, key: FlowKey, release: RequestRelease, report: AgentReport) {
        if !enabled!(Level::DEBUG) {
            return;
        }
        if let Some(left_out) = self.limiter.admit() {
            let (class, packets, cause) = (release.class, release.packets, release.cause.name());
            let (busy, slots, queued) = (report.busy, report.slots, report.queued);
            debug!(
                flow = %key,
                class,
                waited_ms = release.waited.0,
                cause,
                packets,
                busy,
                slots,
                queued,
                left_out,
                "held request sent"
            );
        }
    }

    /// Logs a copy of a packet that its caller hasn't acknowledged within `age`.
    pub(crate) fn resent(&mut self, key: FlowKey, sequence: u32, age: Millis) {
        if !enabled!(Level::DEBUG) {
            return;
        }
        if let Some(left_out) = self.limiter.admit() {
            debug!(flow = %key, sequence, age_ms = age.0, left_out, "early copy sent to the caller");
        }
    }

    pub(crate) fn redirected(
        &mut self,
        key: FlowKey,
        to: SocketAddrV4,
        header: &ForwardHeader,
        cause: RedirectCause,
    ) {
        if let Some(left_out) = self.limiter.admit() {
            let (hops, rest, cause) = (header.hops, header.rest.len(), cause.name());
            info!(flow = %key, %to, cause, hops, rest, left_out, "packet redirected");
        }
    }

    pub(crate) fn reset(&mut self, key: FlowKey, cause: ResetCause) {
        if let Some(left_out) = self.limiter.admit() {
            let cause = cause.name();
            info!(flow = %key, cause, left_out, "open flow reset: its server has lost it");
        }
    }

    /// Logs a reset that the server sent; `stage` is how far the agent took the flow to be.
    pub(crate) fn server_reset(&mut self, key: FlowKey, stage: Option<&FlowStage>) {
        if let Some(left_out) = self.limiter.admit() {
            info!(flow = %key, ?stage, left_out, "backend server resets the flow");
        }
    }

    /// Logs the reset of a flow that none of `agents` agents held; the search took `time`.
    pub(crate) fn lost_flow_reset(&mut self, key: FlowKey, agents: usize, time: Millis) {
        if let Some(left_out) = self.limiter.admit() {
            info!(flow = %key, agents, ms = time.0, left_out, "lost flow reset: no server holds it");
        }
    }

    /// Logs a search for a flow that ended without a reset.
    pub(crate) fn search_ended(&mut self, key: FlowKey, end: SearchEnd) {
        if let Some(left_out) = self.limiter.admit() {
            let (cause, agent) = (end.name(), end.agent().map(tracing::field::display));
            info!(flow = %key, cause, agent, left_out, "search for a flow ended");
        }
    }

    /// Logs a packet that goes to no server. `refused` is the retransmission that a refused opening packet
    /// is, zero for the first copy; `None` if the packet is dropped. `waited` is the longest time for which
    /// it may have waited in the socket.
    pub(crate) fn not_delivered(
        &mut self,
        key: FlowKey,
        cause: RedirectCause,
        refused: Option<u8>,
        waited: Millis,
        report: AgentReport,
    ) {
        if let Some(left_out) = self.limiter.admit() {
            let (busy, slots) = (report.busy, report.slots);
            let (revision, era) = revision_and_era(report.revision);
            let outcome = refused.map_or("dropped", |_| "refused");
            info!(
                flow = %key,
                outcome,
                cause = cause.name(),
                retransmission = refused,
                waited_ms = waited.0,
                busy,
                slots,
                revision,
                era,
                left_out,
                "packet not delivered"
            );
        }
    }
}
