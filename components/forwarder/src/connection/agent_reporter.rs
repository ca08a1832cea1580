//! Reports of an agent to the balancers that send to it.

use std::net::SocketAddrV4;

use carobdrum_core::Millis;
use carobdrum_flows::{
    process::ReportSchedule,
    FlowKeeper, //
};
use carobdrum_wire::flow_datagram::{
    address_to_number,
    FlowBody,
    FlowDatagram,
    ServerReport, //
};
use tracing::info;

use super::udp_port::UdpPort;

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
    pub(crate) fn meet(
        &mut self,
        balancer: SocketAddrV4,
        keeper: &mut FlowKeeper,
        port: &mut UdpPort,
        now: Millis,
    ) {
        if self.schedule.note_packet(balancer, now) {
            self.send([balancer], keeper, port, now);
        }
    }

    /// Sends the reports that are due.
    pub(crate) fn tick(&mut self, keeper: &mut FlowKeeper, port: &mut UdpPort, now: Millis) {
        self.tell_change(keeper, port, now);
        let due = self.schedule.take_due(now);
        if !due.is_empty() {
            self.send(due, keeper, port, now);
        }
    }

    /// Tells all balancers when the server begins or ceases to take new flows.
    pub(crate) fn tell_change(&mut self, keeper: &mut FlowKeeper, port: &mut UdpPort, now: Millis) {
        let accepts = keeper.report(now).accepts;
        if accepts == self.accepts {
            return;
        }
        self.accepts = accepts;
        info!(accepts, "backend server changed");
        let balancers = self.schedule.take_all(now);
        self.send(balancers, keeper, port, now);
    }

    fn send(
        &self,
        balancers: impl IntoIterator<Item = SocketAddrV4>,
        keeper: &mut FlowKeeper,
        port: &mut UdpPort,
        now: Millis,
    ) {
        let report = self.encode(keeper, now);
        for balancer in balancers {
            port.send(&report, balancer);
        }
    }

    fn encode(&self, keeper: &mut FlowKeeper, now: Millis) -> Vec<u8> {
        let report = keeper.report(now);
        FlowDatagram::encode_body(FlowBody::Report(ServerReport {
            agent: address_to_number(self.address),
            accepts: report.accepts,
            busy: report.busy,
            slots: report.slots,
            revision: report.revision,
            centre: keeper.centre().to_string(),
            service: keeper.service().to_string(),
            failure_percent: u32::from(report.failure_percent),
        }))
    }
}
