//! Reports of an agent to the balancers that send to it.

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

/// When an agent reports, and what it reported last.
#[derive(Debug)]
pub(crate) struct AgentReporter {
    address: SocketAddrV4,
    schedule: ReportSchedule,
    /// Whether the server takes new flows, as last told.
    accepts: bool,
}

impl AgentReporter {
    /// Creates the reporter of the agent at `address`; balancers take a new agent to accept flows.
    pub(crate) fn new(address: SocketAddrV4) -> AgentReporter {
        AgentReporter {
            address,
            schedule: ReportSchedule::default(),
            accepts: true,
        }
    }

    /// Notes that a balancer sends to the agent, and answers with a report if one is due.
    pub(crate) fn note_balancer(
        &mut self,
        balancer: SocketAddrV4,
        tracker: &mut FlowTracker,
        port: &mut UdpEndpoint,
        now: Millis,
    ) {
        if self.schedule.note_packet(balancer, now) {
            self.send([balancer], tracker, port, now);
        }
    }

    /// Sends the reports that are due.
    pub(crate) fn tick(&mut self, tracker: &mut FlowTracker, port: &mut UdpEndpoint, now: Millis) {
        self.report_change(tracker, port, now);
        let due = self.schedule.take_due(now);
        if !due.is_empty() {
            self.send(due, tracker, port, now);
        }
    }

    /// Tells all balancers when the server begins or ceases to take new flows.
    pub(crate) fn report_change(
        &mut self,
        tracker: &mut FlowTracker,
        port: &mut UdpEndpoint,
        now: Millis,
    ) {
        let accepts = tracker.report(now).accepts;
        if accepts == self.accepts {
            return;
        }
        self.accepts = accepts;
        info!(accepts, "backend server changed");
        let balancers = self.schedule.take_all(now);
        self.send(balancers, tracker, port, now);
    }

    fn send(
        &self,
        balancers: impl IntoIterator<Item = SocketAddrV4>,
        tracker: &mut FlowTracker,
        port: &mut UdpEndpoint,
        now: Millis,
    ) {
        let report = self.encode(tracker, now);
        for balancer in balancers {
            port.send(&report, balancer);
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
        }))
    }
}
