//! Reports of an agent to balancers.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::ReportSchedule,
    FlowTracker, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    ServerReport, //
};
use tracing::info;

use super::udp_endpoint::UdpEndpoint;

/// Sends the reports of an agent to the balancers that have sent to it.
#[derive(Debug)]
pub(crate) struct AgentReporter {
    address: SocketAddrV4,
    schedule: ReportSchedule,
    /// Whether the server accepts new flows, as last reported.
    accepts: bool,
}

impl AgentReporter {
    /// Creates the reporter of the agent at `address`. Balancers assume that a new agent accepts
    /// flows.
    pub(crate) fn new(address: SocketAddrV4) -> AgentReporter {
        AgentReporter {
            address,
            schedule: ReportSchedule::default(),
            accepts: true,
        }
    }

    /// Records that a balancer has sent to the agent, and replies with a report if one is due.
    pub(crate) fn note_balancer(
        &mut self,
        balancer: SocketAddrV4,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        if self.schedule.note_packet(balancer, now) {
            self.send([balancer], tracker, endpoint, now);
        }
    }

    /// Sends the reports that are due.
    pub(crate) fn tick(
        &mut self,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        self.report_change(tracker, endpoint, now);
        let due = self.schedule.take_due(now);
        if !due.is_empty() {
            self.send(due, tracker, endpoint, now);
        }
    }

    /// Reports to all balancers if the server has started or stopped accepting new flows.
    pub(crate) fn report_change(
        &mut self,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        let accepts = tracker.report(now).accepts;
        if accepts == self.accepts {
            return;
        }
        self.accepts = accepts;
        let cause = tracker.exclusion_cause(now);
        let cause = cause.map_or("none", |cause| cause.name());
        info!(
            accepts,
            cause, "backend server's acceptance of flows changed"
        );
        let balancers = self.schedule.take_all(now);
        self.send(balancers, tracker, endpoint, now);
    }

    fn send(
        &self,
        balancers: impl IntoIterator<Item = SocketAddrV4>,
        tracker: &mut FlowTracker,
        endpoint: &mut UdpEndpoint,
        now: Millis,
    ) {
        let report = self.encode(tracker, now);
        for balancer in balancers {
            endpoint.send(&report, balancer);
        }
    }

    fn encode(&self, tracker: &mut FlowTracker, now: Millis) -> Vec<u8> {
        let report = tracker.report(now);
        FlowDatagram::encode_body(FlowBody::Report(ServerReport {
            agent: address_to_number(self.address),
            accepts: report.accepts,
            busy: report.busy,
            slots: report.slots,
            revision: report.revision,
            centre: tracker.centre().to_string(),
            service: tracker.service().to_string(),
            failure_percent: u32::from(report.failure_percent),
            confirmed: report.is_confirmed,
            queued: report.queued,
            work_us: report.work_us,
            open_flows: report.open_flows,
        }))
    }
}
